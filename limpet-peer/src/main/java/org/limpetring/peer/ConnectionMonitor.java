package org.limpetring.peer;

/**
 * Decides when an outbound connection needs a heartbeat, must be dropped as silent or closed as
 * idle.
 *
 * <p>Silence is detected only while a written frame is unanswered, so idle connections cause no
 * heartbeat traffic. Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
final class ConnectionMonitor {

  /** Action that is due on the connection. */
  enum Action {
    NONE,
    HEARTBEAT,
    DROP_SILENT,
    CLOSE_IDLE
  }

  private static final long NOTHING_UNANSWERED = Long.MIN_VALUE;

  private final long heartbeatMs;
  private final long silenceTimeoutMs;
  private final long idleTimeoutMs;
  private long unansweredSinceMs = NOTHING_UNANSWERED;
  private boolean heartbeatSent;
  private long lastWriteMs;

  ConnectionMonitor(PeerSettings settings, long nowMs) {
    this.heartbeatMs = settings.heartbeatMs();
    this.silenceTimeoutMs = settings.silenceTimeoutMs();
    this.idleTimeoutMs = settings.idleTimeoutMs();
    this.lastWriteMs = nowMs;
  }

  /** Records that a message was written. */
  void onMessageWritten(long nowMs) {
    lastWriteMs = nowMs;
    if (unansweredSinceMs == NOTHING_UNANSWERED) {
      unansweredSinceMs = nowMs;
    }
  }

  /** Records a received frame; any frame shows that the connection works in both directions. */
  void onFrameReceived() {
    unansweredSinceMs = NOTHING_UNANSWERED;
    heartbeatSent = false;
  }

  /** Returns the action due at {@code nowMs}, with at most one heartbeat per unanswered period. */
  Action onTick(long nowMs) {
    if (unansweredSinceMs == NOTHING_UNANSWERED) {
      return nowMs - lastWriteMs >= idleTimeoutMs ? Action.CLOSE_IDLE : Action.NONE;
    }
    long unansweredMs = nowMs - unansweredSinceMs;
    if (unansweredMs >= silenceTimeoutMs) {
      return Action.DROP_SILENT;
    }
    if (unansweredMs >= heartbeatMs && !heartbeatSent) {
      heartbeatSent = true;
      return Action.HEARTBEAT;
    }
    return Action.NONE;
  }

  /** Returns the time until the next action can be due, in milliseconds; at least 1. */
  long nextTickMs(long nowMs) {
    if (unansweredSinceMs == NOTHING_UNANSWERED) {
      return Math.max(1, lastWriteMs + idleTimeoutMs - nowMs);
    }
    long dueMs = heartbeatSent ? silenceTimeoutMs : heartbeatMs;
    return Math.max(1, unansweredSinceMs + dueMs - nowMs);
  }
}
