package org.limpetring.routing.admit;

/**
 * Decides how many requests at once this daemon gives one group, from the time to the first event.
 *
 * <p>Additive increase, multiplicative decrease: Chiu and Jain, "Analysis of the Increase and
 * Decrease Algorithms for Congestion Avoidance in Computer Networks", Computer Networks and ISDN
 * Systems 17, 1989. Safe for use by many threads.
 */
public final class AdaptiveLimit {

  private static final double DECREASE = 0.9;
  private static final double TOLERANCE = 3.0;
  private static final double BASELINE_DRIFT = 1.002;

  private final int max;
  private double limit;
  private double baselineMs = Double.MAX_VALUE;
  private long nextDecreaseMs = Long.MIN_VALUE;

  /** Starts at {@code max}, which it never exceeds. */
  public AdaptiveLimit(int max) {
    if (max < 1) {
      throw new IllegalArgumentException("max " + max);
    }
    this.max = max;
    this.limit = max;
  }

  /** Requests at once. */
  public synchronized int get() {
    return (int) limit;
  }

  /** A request began to be answered {@code firstEventMs} after dispatch. */
  public synchronized void observe(long firstEventMs, int inFlight, long nowMs) {
    baselineMs = Math.max(1, Math.min(firstEventMs, baselineMs * BASELINE_DRIFT));
    if (firstEventMs > TOLERANCE * baselineMs) {
      decrease(nowMs, firstEventMs);
    } else if (2 * inFlight >= limit) {
      limit = Math.min(max, limit + 1 / limit);
    }
  }

  /** The group refused a request as one too many. */
  public synchronized void onRejected(long nowMs) {
    decrease(nowMs, (long) Math.min(baselineMs, Integer.MAX_VALUE));
  }

  /** Lowers at most once per answer time, as one overload is seen by many requests. */
  private void decrease(long nowMs, long answerMs) {
    if (nowMs < nextDecreaseMs) {
      return;
    }
    limit = Math.max(1, limit * DECREASE);
    nextDecreaseMs = nowMs + answerMs;
  }
}
