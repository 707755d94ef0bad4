package org.limpetring.entry.port;

import org.limpetring.entry.model.EngineStatus;

/** How a question for an engine's state ended. */
public sealed interface ReportReply {

  /** The engine's own word; {@code startedAtMs} names its life. */
  record Received(long startedAtMs, EngineStatus status) implements ReportReply {}

  /** Nothing listens at the address; the process is gone. */
  record Gone() implements ReportReply {}

  /** No answer in time. */
  record TimedOut() implements ReportReply {}

  /** An answer that is no report, or of another engine. */
  record Unreadable(String reason) implements ReportReply {}
}
