package org.limpetring.daemon.wiring;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class PauseWatchTest {

  private static final long TICK_INTERVAL_MS = 250;

  private final PauseWatch watch = new PauseWatch();
  private long nowMs = 1_000;

  @Test
  void pausedDaemonIsNotSettledBeforeObservationsAreRepublished() {
    assertThat(watch.isSettled(nowMs)).isFalse();
    run(PauseWatch.SETTLE_MS + TICK_INTERVAL_MS);
    assertThat(watch.isSettled(nowMs)).isTrue();
    nowMs += 8_000;
    assertThat(watch.isSettled(nowMs)).isFalse();
    run(PauseWatch.SETTLE_MS - TICK_INTERVAL_MS);
    assertThat(watch.isSettled(nowMs)).isFalse();
    run(2 * TICK_INTERVAL_MS);
    assertThat(watch.isSettled(nowMs)).isTrue();
  }

  private void run(long forMs) {
    long endMs = nowMs + forMs;
    while (nowMs < endMs) {
      watch.tick(nowMs);
      nowMs += TICK_INTERVAL_MS;
    }
  }
}
