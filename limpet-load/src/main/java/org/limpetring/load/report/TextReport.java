package org.limpetring.load.report;

import java.util.Locale;
import org.limpetring.load.check.GuaranteeResult;

/** Formats a report as plain text. */
public final class TextReport {

  private static final double MS_PER_SECOND = 1_000;

  private final StringBuilder text = new StringBuilder();

  private TextReport() {}

  /** Returns {@code report} as text. */
  public static String write(Report report) {
    TextReport writer = new TextReport();
    writer.appendSummary(report);
    report.promises().forEach(writer::appendGuarantee);
    report.phases().forEach(writer::appendPhase);
    writer.appendTeams(report);
    return writer.text.toString();
  }

  private void appendSummary(Report report) {
    appendLine(
        "%s, seed %d: %s", report.experiment(), report.seed(), report.pass() ? "PASS" : "FAIL");
    appendLine(
        "group downtime %.1f s, stranded hosts %.1f s, platform %d reads %d writes",
        report.groupDowntimeMs() / MS_PER_SECOND,
        report.strandedHostMs() / MS_PER_SECOND,
        report.platformReads(),
        report.platformWrites());
    report
        .marks()
        .forEach(mark -> appendLine("  %6.1f s %s", mark.atMs() / MS_PER_SECOND, mark.label()));
  }

  private void appendGuarantee(GuaranteeResult guarantee) {
    appendLine(
        "%s %s: %d of %d broken%s",
        stateLabel(guarantee),
        guarantee.name(),
        guarantee.violations(),
        guarantee.checked(),
        guarantee.figure().isEmpty() ? "" : "; " + guarantee.figure());
    guarantee.examples().forEach(example -> appendLine("         %s", example));
  }

  private static String stateLabel(GuaranteeResult guarantee) {
    if (!guarantee.holds()) {
      return "BROKEN ";
    }
    return guarantee.checked() == 0 ? "no case" : "kept   ";
  }

  private void appendPhase(Report.PhaseReport phase) {
    appendLine(
        "phase %s: factor %.2f, offered %d, good %d (%.1f/s), codes %s",
        phase.name(),
        phase.factor(),
        phase.offered(),
        phase.good(),
        phase.goodPerSecond(),
        phase.codes());
    for (Report.Latency latency : phase.latencies()) {
      appendLine(
          "  %-14s %-8s n=%-8d p50 %8.1f  p95 %8.1f  p99 %8.1f  max %8.1f ms",
          latency.kind(),
          latency.measure(),
          latency.count(),
          latency.p50(),
          latency.p95(),
          latency.p99(),
          latency.max());
    }
  }

  private void appendTeams(Report report) {
    for (Report.TeamReport team : report.teams()) {
      double share = team.offered() == 0 ? 0 : 100.0 * team.good() / team.offered();
      appendLine(
          "team %-20s offered %6d  good %5.1f%%  first p95 %.0f ms",
          team.name(), team.offered(), share, team.firstP95Ms());
    }
  }

  private void appendLine(String format, Object... arguments) {
    text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
  }
}
