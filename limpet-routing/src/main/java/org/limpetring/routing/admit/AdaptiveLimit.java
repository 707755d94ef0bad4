package org.limpetring.routing.admit;

/**
 * Adaptive limit on the concurrent requests that this daemon sends to one group, controlled by the
 * time to the first response event.
 *
 * <p>Additive increase, multiplicative decrease: Chiu and Jain, "Analysis of the Increase and
 * Decrease Algorithms for Congestion Avoidance in Computer Networks", Computer Networks and ISDN
 * Systems 17, 1989. Thread-safe.
 */
public final class AdaptiveLimit {

  private static final double DECREASE_FACTOR = 0.9;
  private static final double SLOWDOWN_TOLERANCE = 3.0;
  private static final double BASELINE_GROWTH = 1.002;

  private final int max;
  private double limit;
  private double baselineMs = Double.MAX_VALUE;
  private long nextDecreaseMs = Long.MIN_VALUE;

  /** Creates a limit that starts at {@code max} and never exceeds it. */
  public AdaptiveLimit(int max) {
    if (max < 1) {
      throw new IllegalArgumentException("max must be at least 1: " + max);
    }
    this.max = max;
    this.limit = max;
  }

  /** Returns the current limit. */
  public synchronized int get() {
    return (int) limit;
  }

  /**
   * Records that the first response event of a request arrived {@code firstEventMs} after dispatch.
   */
  public synchronized void observe(long firstEventMs, int inFlight, long nowMs) {
    baselineMs = Math.max(1, Math.min(firstEventMs, baselineMs * BASELINE_GROWTH));
    if (firstEventMs > SLOWDOWN_TOLERANCE * baselineMs) {
      decrease(nowMs, firstEventMs);
    } else if (2 * inFlight >= limit) {
      limit = Math.min(max, limit + 1 / limit);
    }
  }

  /** Records that the group rejected a request because of its concurrency. */
  public synchronized void onRejected(long nowMs) {
    decrease(nowMs, (long) Math.min(baselineMs, Integer.MAX_VALUE));
  }

  /**
   * Lowers the limit at most once per response time, because one overload is observed by many
   * requests.
   */
  private void decrease(long nowMs, long responseMs) {
    if (nowMs < nextDecreaseMs) {
      return;
    }
    limit = Math.max(1, limit * DECREASE_FACTOR);
    nextDecreaseMs = nowMs + responseMs;
  }
}
