package org.limpetring.entry.place;

/**
 * What admission needs to know of a waiting request.
 *
 * @param rank 0 goes first
 * @param promptTokens tokens to read
 * @param onTimeDeadlineMs latest arrival of the first event that counts as on time
 * @param abandonAtMs when the caller or the route gives up
 * @param isCallerRetry whether the caller was refused before and came back
 * @param arrivedMs when it came
 */
public record Demand(
    int rank,
    int promptTokens,
    long onTimeDeadlineMs,
    long abandonAtMs,
    boolean isCallerRetry,
    long arrivedMs) {

  /** Whether an answer that starts at that time is on time. */
  public boolean isOnTimeAt(double startMs) {
    return startMs <= onTimeDeadlineMs;
  }
}
