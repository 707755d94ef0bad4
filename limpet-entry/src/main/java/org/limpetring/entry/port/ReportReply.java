package org.limpetring.entry.port;

import java.util.OptionalLong;
import org.limpetring.entry.model.EngineStatus;

/** Result of a query for an engine's state. */
public sealed interface ReportReply {

  /**
   * State that the engine reported; it may be a few hundred milliseconds old.
   *
   * @param startedAtMs identifies the incarnation
   * @param orderCount orders that the incarnation had begun in that state; empty if not reported
   */
  record Received(long startedAtMs, OptionalLong orderCount, EngineStatus status)
      implements ReportReply {}

  /** Nothing listens at the address; the process is gone. */
  record Gone() implements ReportReply {}

  /** No response in time. */
  record TimedOut() implements ReportReply {}

  /** The response is not a report, or comes from another engine. */
  record Unreadable(String reason) implements ReportReply {}
}
