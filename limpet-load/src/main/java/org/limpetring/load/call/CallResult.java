package org.limpetring.load.call;

import java.util.List;
import org.limpetring.load.schedule.Arrival;

/**
 * Result of one request as its caller observed it.
 *
 * @param scheduledAtMs wall time at which the request was due
 * @param firstEventMs time from then to the first event, or to the body if not streamed; -1 if none
 *     was received
 * @param totalMs time from then to the end of the final attempt
 * @param gapsUs times between consecutive events in microseconds
 * @param attempts all attempts in order
 */
public record CallResult(
    Arrival arrival,
    long scheduledAtMs,
    long firstEventMs,
    long totalMs,
    long[] gapsUs,
    List<Attempt> attempts) {

  /** Final attempt. */
  public Attempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /** Whether the caller received the full response to its own request. */
  public boolean complete() {
    return lastAttempt().end() == Attempt.End.WHOLE;
  }

  /** Whether it did so within the deadline, if it set one. */
  public boolean good() {
    long deadlineMs = arrival.kind().deadlineMs();
    return complete() && (deadlineMs == 0 || totalMs <= deadlineMs);
  }

  /** Wall time of the end, in milliseconds since the Unix epoch. */
  public long endedAtMs() {
    return scheduledAtMs + totalMs;
  }
}
