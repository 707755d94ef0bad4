package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import com.google.inject.Singleton;

/**
 * Detects process pauses and whether enough time has passed since to know the groups again.
 *
 * <p>After a pause, one exchange confirms the fleet's state, but observations of groups arrive only
 * as their observers republish them. Until then the balancer should send a request to another
 * daemon, because this one would reject it as if no group were serving.
 */
@Singleton
public final class PauseWatch {

  /** Longest gap between two ticks that does not count as a pause. */
  static final long MAX_GAP_MS = 2_000;

  /** Time within which every observer republishes its observations. */
  static final long SETTLE_MS = 2_000;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private volatile long lastTickAtMs = NEVER_MS;
  private volatile long resumedAtMs = NEVER_MS;

  /** Starts in the state after a pause. */
  @Inject
  public PauseWatch() {}

  /** Records a run of the control loop; called by one thread only. */
  public void tick(long nowMs) {
    if (nowMs - lastTickAtMs > MAX_GAP_MS) {
      resumedAtMs = nowMs;
    }
    lastTickAtMs = nowMs;
  }

  /** Whether the daemon is not in a pause and the last pause ended long enough ago. */
  public boolean isSettled(long nowMs) {
    return nowMs - lastTickAtMs <= MAX_GAP_MS && nowMs - resumedAtMs >= SETTLE_MS;
  }
}
