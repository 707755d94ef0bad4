package org.limpetring.entry.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class ShutdownRuleTest {

  private static final long GRACE_MS = 8_000;

  /** A stream accepted 5 s after SIGTERM was cut at 7.8 s (kowhai-press, mix 35599155027). */
  @Test
  void refusesStreamThatMayOutlastProcess() {
    assertThat(ShutdownRule.accepts(5_000, 5_000, GRACE_MS, true)).isFalse();
  }

  @Test
  void acceptsAllRepeatableRequestsUntilBalancerStopsSending() {
    assertThat(ShutdownRule.accepts(0, 8_000, GRACE_MS, true)).isTrue();
    assertThat(ShutdownRule.accepts(2_500, 8_000, GRACE_MS, true)).isTrue();
  }

  @Test
  void acceptsShortRequestThatEndsInTime() {
    for (boolean isRetryable : List.of(true, false)) {
      assertThat(ShutdownRule.accepts(4_000, 800, GRACE_MS, isRetryable)).isTrue();
      assertThat(ShutdownRule.accepts(6_000, 800, GRACE_MS, isRetryable)).isFalse();
    }
  }

  /** LOST: work that may not be repeated was taken though it could outlast the process. */
  @Test
  void takesNonRetryableWorkOnlyIfItEndsInTimeAtAnyMoment() {
    for (long graceMs : List.of(1_000L, 3_000L, GRACE_MS, 30_000L)) {
      for (long stoppingMs = 0; stoppingMs < graceMs; stoppingMs += 50) {
        for (long durationMs : List.of(100L, 1_500L, 8_000L, 60_000L)) {
          boolean isAccepted = ShutdownRule.accepts(stoppingMs, durationMs, graceMs, false);
          assertThat(isAccepted && stoppingMs + durationMs > graceMs).isFalse();
        }
      }
    }
  }

  /** With a grace period as short as the balancer's delay, late requests were taken and cut. */
  @Test
  void refusesLongRequestsLateInAShortGracePeriod() {
    assertThat(ShutdownRule.accepts(2_500, 8_000, 3_000, true)).isFalse();
  }

  @Test
  void answersAreWrittenBetweenTheCutAndTheExit() {
    assertThat(ShutdownRule.isGraceSpent(7_700, GRACE_MS)).isFalse();
    assertThat(ShutdownRule.isGraceSpent(7_800, GRACE_MS)).isTrue();
    assertThat(ShutdownRule.mustExit(7_800, GRACE_MS)).isFalse();
    assertThat(ShutdownRule.mustExit(7_950, GRACE_MS)).isTrue();
  }
}
