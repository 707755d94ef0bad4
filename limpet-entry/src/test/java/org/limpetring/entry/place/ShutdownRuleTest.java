package org.limpetring.entry.place;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ShutdownRuleTest {

  private static final long GRACE_MS = 8_000;

  /** Hunt of kowhai-press, mix 35599155027: a stream taken 5 s after SIGTERM was cut at 7.8 s. */
  @Test
  void aStreamThatMayOutlastTheProcessIsNotTaken() {
    assertThat(ShutdownRule.accepts(5_000, 5_000, GRACE_MS)).isFalse();
  }

  @Test
  void allIsTakenUntilTheBalancerSendsNoMore() {
    assertThat(ShutdownRule.accepts(0, 8_000, GRACE_MS)).isTrue();
    assertThat(ShutdownRule.accepts(2_500, 8_000, GRACE_MS)).isTrue();
  }

  @Test
  void aShortRequestIsTakenWhileItEndsInTime() {
    assertThat(ShutdownRule.accepts(4_000, 800, GRACE_MS)).isTrue();
    assertThat(ShutdownRule.accepts(6_000, 800, GRACE_MS)).isFalse();
  }
}
