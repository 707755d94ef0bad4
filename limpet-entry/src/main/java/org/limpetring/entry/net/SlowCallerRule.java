package org.limpetring.entry.net;

import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.CallerLimits;
import org.limpetring.entry.model.Limits;

/**
 * Decides when a caller's connection is too slow to be kept.
 *
 * <p>Load pattern: thousands of connections send half a head or most of a body and then nothing, or
 * read nothing of their responses; each costs little, together they take all descriptors and much
 * of the memory. No I/O and no clock.
 */
final class SlowCallerRule {

  /** What a connection is in the middle of. */
  enum Phase {
    /** No byte of a request has arrived since the last one. */
    IDLE,
    HEAD,
    BODY,
    /** A request is in progress; the caller is not what is waited for. */
    IN_PROGRESS
  }

  /** Bytes that a caller must take of an unread response in each window. */
  static final long MIN_BYTES_PER_WINDOW = 4_096;

  private long windowStartMs;
  private long windowStartBytes;
  private boolean isWindowOpen;

  /** Returns the fault of a connection that has been in a phase, and silent, for these times. */
  static @Nullable CallerFault slowRequest(
      Phase phase, long phaseMs, long silentMs, Limits limits, CallerLimits callerLimits) {
    return switch (phase) {
      case IDLE -> silentMs > limits.idleTimeoutMs() ? CallerFault.IDLE_TIMEOUT : null;
      case HEAD -> phaseMs > limits.headerTimeoutMs() ? CallerFault.HEAD_TIMEOUT : null;
      case BODY ->
          silentMs > limits.idleTimeoutMs() || phaseMs > callerLimits.bodyTimeoutMs()
              ? CallerFault.BODY_TIMEOUT
              : null;
      case IN_PROGRESS -> null;
    };
  }

  /**
   * Returns whether the caller has taken too little of what is unread within a window.
   *
   * @param unreadBytes bytes that the caller has not taken yet
   * @param takenBytes all bytes that it has taken
   */
  boolean isNotReading(long unreadBytes, long takenBytes, long nowMs, long windowMs) {
    if (unreadBytes == 0) {
      isWindowOpen = false;
      return false;
    }
    if (!isWindowOpen || takenBytes - windowStartBytes >= MIN_BYTES_PER_WINDOW) {
      isWindowOpen = true;
      windowStartMs = nowMs;
      windowStartBytes = takenBytes;
      return false;
    }
    return nowMs - windowStartMs > windowMs;
  }
}
