package org.limpetring.entry.place;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class StopRuleTest {

  private static final long GRACE_MS = 8_000;

  /** Hunt of kowhai-press, mix 35599155027: a stream taken 5 s after SIGTERM was cut at 7.8 s. */
  @Test
  void aStreamThatMayOutlastTheProcessIsNotTaken() {
    assertThat(StopRule.isTaken(5_000, 5_000, GRACE_MS)).isFalse();
  }

  @Test
  void allIsTakenUntilTheBalancerSendsNoMore() {
    assertThat(StopRule.isTaken(0, 8_000, GRACE_MS)).isTrue();
    assertThat(StopRule.isTaken(2_500, 8_000, GRACE_MS)).isTrue();
  }

  @Test
  void aShortRequestIsTakenWhileItEndsInTime() {
    assertThat(StopRule.isTaken(4_000, 800, GRACE_MS)).isTrue();
    assertThat(StopRule.isTaken(6_000, 800, GRACE_MS)).isFalse();
  }
}
