package org.limpetring.peer;

/**
 * Decides when an outbound connection needs a heartbeat, has gone silent or is idle.
 *
 * <p>Only a connection that owes an answer can be found silent, so idle connections cost no
 * traffic. Times are milliseconds on one monotonic scale. Not thread-safe.
 */
final class ConnectionWatch {

  /** What to do with the connection now. */
  enum Action {
    NONE,
    HEARTBEAT,
    DROP_SILENT,
    CLOSE_IDLE
  }

  private static final long NONE_UNANSWERED = Long.MIN_VALUE;

  private final long heartbeatMs;
  private final long silenceMs;
  private final long idleCloseMs;
  private long unansweredSinceMs = NONE_UNANSWERED;
  private boolean heartbeatSent;
  private long lastMessageMs;

  ConnectionWatch(PeerSettings settings, long nowMs) {
    this.heartbeatMs = settings.heartbeatMs();
    this.silenceMs = settings.silenceMs();
    this.idleCloseMs = settings.idleCloseMs();
    this.lastMessageMs = nowMs;
  }

  /** A message was written. */
  void onMessageWritten(long nowMs) {
    lastMessageMs = nowMs;
    if (unansweredSinceMs == NONE_UNANSWERED) {
      unansweredSinceMs = nowMs;
    }
  }

  /** A frame arrived, which proves that the connection carries frames both ways. */
  void onRead() {
    unansweredSinceMs = NONE_UNANSWERED;
    heartbeatSent = false;
  }

  /** Decides at {@code nowMs}; a heartbeat is asked for once per unanswered period. */
  Action onTick(long nowMs) {
    if (unansweredSinceMs == NONE_UNANSWERED) {
      return nowMs - lastMessageMs >= idleCloseMs ? Action.CLOSE_IDLE : Action.NONE;
    }
    long unansweredMs = nowMs - unansweredSinceMs;
    if (unansweredMs >= silenceMs) {
      return Action.DROP_SILENT;
    }
    if (unansweredMs >= heartbeatMs && !heartbeatSent) {
      heartbeatSent = true;
      return Action.HEARTBEAT;
    }
    return Action.NONE;
  }

  /** Time until the next decision can be due, in milliseconds and at least 1. */
  long nextTickMs(long nowMs) {
    if (unansweredSinceMs == NONE_UNANSWERED) {
      return Math.max(1, lastMessageMs + idleCloseMs - nowMs);
    }
    long dueMs = heartbeatSent ? silenceMs : heartbeatMs;
    return Math.max(1, unansweredSinceMs + dueMs - nowMs);
  }
}
