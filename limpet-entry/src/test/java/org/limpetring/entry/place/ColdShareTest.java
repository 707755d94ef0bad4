package org.limpetring.entry.place;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

final class ColdShareTest {

  /** A failure domain is back cold while each daemon has far more waiting than it bears. */
  @Test
  void noSecondHasMoreThanTheUpstreamBears() {
    int daemons = 9;
    double perSecond = 36;
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
      while (sent.peekFirst() <= nowMs - 1_000) {
        sent.pollFirst();
      }
      most = Math.max(most, sent.size());
    }
    assertThat((double) most).isAtMost(perSecond * 1.5 + 5);
    assertThat((double) most).isAtLeast(perSecond * 0.7);
  }
}
