package org.limpetring.entry.place;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ColdRateLimiterTest {

  /** A failure domain is back cold while each daemon has far more waiting than it bears. */
  @Test
  void noSecondHasMoreThanTheUpstreamBears() {
    double perSecond = 36;
    int most = mostInASecond(9, perSecond);
    assertThat((double) most).isAtMost(perSecond * 1.5 + 5);
    assertThat((double) most).isAtLeast(perSecond * 0.7);
  }

  /** More daemons than the upstream bears requests a second, each with work waiting. */
  @Test
  void manyDaemonsTogetherStayWithinWhatTheUpstreamBears() {
    double perSecond = 17;
    int most = mostInASecond(80, perSecond);
    assertThat((double) most).isAtMost(perSecond * 1.5 + 5);
    assertThat((double) most).isAtLeast(perSecond * 0.7);
  }

  private static int mostInASecond(int daemons, double perSecond) {
    List<String> names = new ArrayList<>();
    ColdRateLimiter[] shares = new ColdRateLimiter[daemons];
    for (int i = 0; i < daemons; i++) {
      shares[i] = new ColdRateLimiter("d" + i);
      names.add("d" + i);
    }
    ArrayDeque<Long> sent = new ArrayDeque<>();
    int most = 0;
    for (long nowMs = 0; nowMs < 5_000; nowMs += 10) {
      for (ColdRateLimiter share : shares) {
        if (share.tryAcquire("u@1", perSecond, names, nowMs)) {
          sent.add(nowMs);
        }
      }
      while (!sent.isEmpty() && sent.peekFirst() <= nowMs - 1_000) {
        sent.pollFirst();
      }
      most = Math.max(most, sent.size());
    }
    return most;
  }
}
