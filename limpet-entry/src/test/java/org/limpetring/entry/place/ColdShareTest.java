package org.limpetring.entry.place;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

final class ColdShareTest {

  /** A failure domain is back cold while each daemon has far more waiting than it bears. */
  @Test
  void noSecondHasMoreThanTheUpstreamBears() {
    double perSecond = 36;
    int most = mostInASecond(9, perSecond);
    assertThat((double) most).isAtMost(perSecond * 1.5 + 5);
    assertThat((double) most).isAtLeast(perSecond * 0.7);
  }

  /** More daemons than the upstream bears requests a second: each still begins with one. */
  @Test
  void manyDaemonsTogetherStayWithinWhatTheUpstreamBears() {
    double perSecond = 17;
    assertThat((double) mostInASecond(80, perSecond)).isAtMost(perSecond * 1.5 + 5);
  }

  private static int mostInASecond(int daemons, double perSecond) {
    ColdShare[] shares = new ColdShare[daemons];
    for (int i = 0; i < daemons; i++) {
      shares[i] = new ColdShare();
    }
    ArrayDeque<Long> sent = new ArrayDeque<>();
    int most = 0;
    for (long nowMs = 0; nowMs < 5_000; nowMs += 10) {
      for (ColdShare share : shares) {
        if (share.tryTake("u@1", perSecond, daemons, nowMs)) {
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
