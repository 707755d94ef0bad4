package org.limpetring.groups;

/** Result of asking an upstream for its report. */
public sealed interface ReportResult {

  /** The upstream answered. */
  record Reported(MemberReport report) implements ReportResult {}

  /** The upstream did not answer in time, or not in the agreed form. */
  record Missing(String reason) implements ReportResult {}
}
