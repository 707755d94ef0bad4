package org.limpetring.entry.port;

import org.limpetring.entry.model.EngineStatus;

/** Result of a query for an engine's state. */
public sealed interface ReportReply {

  /** State that the engine reported; {@code startedAtMs} identifies its incarnation. */
  record Received(long startedAtMs, EngineStatus status) implements ReportReply {}

  /** Nothing listens at the address; the process is gone. */
  record Gone() implements ReportReply {}

  /** No response in time. */
  record TimedOut() implements ReportReply {}

  /** The response is not a report, or comes from another engine. */
  record Unreadable(String reason) implements ReportReply {}
}
