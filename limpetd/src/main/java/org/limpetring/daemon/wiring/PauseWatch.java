package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import com.google.inject.Singleton;

/**
 * Decides whether this daemon has run without a pause for long enough to know the groups again.
 *
 * <p>After a pause the fleet's state is confirmed within one exchange, but observations of groups
 * arrive only as their observers restate them. Until then a request is better sent elsewhere than
 * told that no group serves.
 */
@Singleton
public final class PauseWatch {

  /** Gap between two ticks from which on a pause is assumed. */
  static final long MAX_GAP_MS = 2_000;

  /** Time within which every observer has restated its observations. */
  static final long SETTLE_MS = 2_000;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private volatile long lastTickMs = NEVER_MS;
  private volatile long resumedMs = NEVER_MS;

  /** Starts as after a pause. */
  @Inject
  public PauseWatch() {}

  /** Notes that the control loop runs; called by one thread. */
  public void tick(long nowMs) {
    if (nowMs - lastTickMs > MAX_GAP_MS) {
      resumedMs = nowMs;
    }
    lastTickMs = nowMs;
  }

  /** Whether no pause ended a short time ago, nor goes on unnoticed. */
  public boolean isSettled(long nowMs) {
    return nowMs - lastTickMs <= MAX_GAP_MS && nowMs - resumedMs >= SETTLE_MS;
  }
}
