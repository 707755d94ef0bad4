package org.limpetring.entry.balancing;

/**
 * What an upstream last said about its limit, as daemons tell each other. Times are ages, since
 * daemons share no clock.
 *
 * @param incarnation incarnation of the upstream
 * @param requestsPerSecond rate that it takes from all daemons together; {@link #ENDED} if it no
 *     longer names one
 * @param ageMs time since the statement
 */
public record LimitStatement(String incarnation, double requestsPerSecond, long ageMs) {

  /** Rate of an upstream that has stopped naming a limit. */
  public static final double ENDED = Double.POSITIVE_INFINITY;

  /** Rejects what is no rate. */
  public LimitStatement {
    if (!(requestsPerSecond >= 0)) {
      throw new IllegalArgumentException("no rate of requests: " + requestsPerSecond);
    }
  }
}
