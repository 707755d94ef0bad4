package org.limpetring.groups;

/** Result of polling an upstream for its report. */
public sealed interface ReportResult {

  /** The upstream responded. */
  record Reported(MemberReport report) implements ReportResult {}

  /** The upstream did not respond in time, or its response was malformed. */
  record Missing(String reason) implements ReportResult {}
}
