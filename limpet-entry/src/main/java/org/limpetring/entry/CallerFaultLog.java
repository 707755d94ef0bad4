package org.limpetring.entry;

import java.util.EnumMap;
import java.util.Map;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.net.CallerConnections;
import org.limpetring.entry.net.CallerFault;

/**
 * Counts the connections and requests of callers that were ended for a fault, and logs an example
 * of each kind of fault at intervals.
 */
final class CallerFaultLog implements CallerConnections.FaultListener {

  /** Interval of the log lines of one kind; a crowd causes thousands of faults a second. */
  private static final long INTERVAL_MS = 5_000;

  private static final class Tally {
    private long count;
    private long nextMs = Long.MIN_VALUE;
  }

  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final Clock clock;
  private final Map<CallerFault, Tally> tallies = new EnumMap<>(CallerFault.class);

  CallerFaultLog(DecisionLog log, EntryMetrics metrics, Clock clock) {
    this.log = log;
    this.metrics = metrics;
    this.clock = clock;
  }

  @Override
  public void onFault(CallerFault fault, String remote, long heldBytes) {
    metrics.callerFault(fault.name());
    Tally tally = tallies.computeIfAbsent(fault, key -> new Tally());
    tally.count++;
    long nowMs = clock.nowMs();
    if (nowMs < tally.nextMs) {
      return;
    }
    tally.nextMs = nowMs + INTERVAL_MS;
    log.write(event(fault), "caller", remote, "heldBytes", heldBytes, "sinceLastLine", tally.count);
    tally.count = 0;
  }

  private static LogEvent event(CallerFault fault) {
    return switch (fault) {
      case MEMORY_FULL -> LogEvent.CALLER_MEMORY_FULL;
      case HEAD_TIMEOUT -> LogEvent.CALLER_HEAD_TIMEOUT;
      case BODY_TIMEOUT -> LogEvent.CALLER_BODY_TIMEOUT;
      case IDLE_TIMEOUT -> LogEvent.CALLER_IDLE;
      case NOT_READING -> LogEvent.CALLER_NOT_READING;
      case CONNECTIONS_FULL -> LogEvent.CALLER_CONNECTIONS_FULL;
      case BODY_TOO_LARGE -> LogEvent.CALLER_BODY_TOO_LARGE;
      case HEAD_TOO_LARGE -> LogEvent.CALLER_HEAD_TOO_LARGE;
      case PIPELINE_FULL -> LogEvent.CALLER_PIPELINE_FULL;
    };
  }
}
