package org.limpetring.entry.balancing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ShutdownRuleTest {

  private static final long GRACE_MS = 8_000;

  /** A stream accepted 5 s after SIGTERM was cut at 7.8 s (kowhai-press, mix 35599155027). */
  @Test
  void refusesStreamThatMayOutlastProcess() {
    assertThat(ShutdownRule.accepts(5_000, 5_000, GRACE_MS)).isFalse();
  }

  @Test
  void acceptsAllUntilBalancerStopsSending() {
    assertThat(ShutdownRule.accepts(0, 8_000, GRACE_MS)).isTrue();
    assertThat(ShutdownRule.accepts(2_500, 8_000, GRACE_MS)).isTrue();
  }

  @Test
  void acceptsShortRequestThatEndsInTime() {
    assertThat(ShutdownRule.accepts(4_000, 800, GRACE_MS)).isTrue();
    assertThat(ShutdownRule.accepts(6_000, 800, GRACE_MS)).isFalse();
  }
}
