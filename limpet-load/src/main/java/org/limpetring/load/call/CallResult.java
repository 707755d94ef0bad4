package org.limpetring.load.call;

import java.util.List;
import org.limpetring.load.schedule.Arrival;

/**
 * How one request ended for its caller.
 *
 * @param scheduledAtMs wall time at which it was due
 * @param firstMs time from then to the first event or byte of the whole answer, or -1
 * @param totalMs time from then to the end
 * @param gapsUs times between events in microseconds
 * @param attempts all tries in order
 */
public record CallResult(
    Arrival arrival,
    long scheduledAtMs,
    long firstMs,
    long totalMs,
    long[] gapsUs,
    List<Attempt> attempts) {

  /** Last try. */
  public Attempt last() {
    return attempts.get(attempts.size() - 1);
  }

  /** Whether the caller got the whole of its own answer. */
  public boolean whole() {
    return last().end() == Attempt.End.WHOLE;
  }

  /** Whether it did so within its deadline, if it named one. */
  public boolean good() {
    long deadlineMs = arrival.kind().deadlineMs();
    return whole() && (deadlineMs == 0 || totalMs <= deadlineMs);
  }

  /** Wall time of the end. */
  public long endedAtMs() {
    return scheduledAtMs + totalMs;
  }
}
