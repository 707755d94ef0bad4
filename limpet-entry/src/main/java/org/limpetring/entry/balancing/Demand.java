package org.limpetring.entry.balancing;

/**
 * Properties of a request that admission decides by.
 *
 * @param rank priority; 0 is the highest
 * @param promptTokens length of the prompt
 * @param onTimeDeadlineMs latest time of the first event that counts as on time
 * @param abandonAtMs when the time limit of the caller or the route expires
 * @param isCallerRetry whether this is a retry of a request that was refused
 * @param arrivedMs time of arrival
 */
public record Demand(
    int rank,
    int promptTokens,
    long onTimeDeadlineMs,
    long abandonAtMs,
    boolean isCallerRetry,
    long arrivedMs) {

  /** Returns the demand of a stream that has begun: it is on time as long as its caller waits. */
  public Demand resumed() {
    return new Demand(rank, promptTokens, abandonAtMs, abandonAtMs, false, arrivedMs);
  }

  /** Whether a response that starts at {@code startMs} is on time. */
  public boolean isOnTimeAt(double startMs) {
    return startMs <= onTimeDeadlineMs;
  }
}
