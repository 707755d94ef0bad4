package org.limpetring.entry.balancing;

/**
 * Rate of requests to an upstream that daemons share, and how many of them do.
 *
 * @param requestsPerSecond rate of all senders together
 * @param senders daemons that may send; each may send one request at once after a pause
 */
public record SharedRate(double requestsPerSecond, int senders) {

  /** Part of a cold rate that is used; the rest covers daemons with differing daemon lists. */
  private static final double COLD_USED_FRACTION = 0.9;

  /** Senders per request/s of the cold rate. */
  private static final double COLD_SENDERS_PER_RATE = 1.0 / 3;

  /** Fewest senders of a named limit; callers at several daemons can use the upstream. */
  private static final int MIN_LIMIT_SENDERS = 3;

  /** Share of the rate that a cold upstream sustains; it may crash at more. */
  public static SharedRate ofColdUpstream(double requestsPerSecond) {
    return new SharedRate(
        requestsPerSecond * COLD_USED_FRACTION,
        Math.max(1, (int) (requestsPerSecond * COLD_SENDERS_PER_RATE)));
  }

  /** Share of the rate that the upstream itself named, all of which may be used. */
  public static SharedRate ofNamedLimit(double requestsPerSecond) {
    return new SharedRate(requestsPerSecond, MIN_LIMIT_SENDERS + (int) requestsPerSecond);
  }

  /** Returns the lower of two rates. */
  public SharedRate lower(SharedRate other) {
    return other.requestsPerSecond < requestsPerSecond ? other : this;
  }
}
