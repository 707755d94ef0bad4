package org.limpetring.load.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.limpetring.base.ResultCode;
import org.limpetring.load.call.Attempt;
import org.limpetring.load.call.CallResult;
import org.limpetring.load.check.Promise;
import org.limpetring.load.schedule.Experiment;

/** Condenses the results of an experiment into its report. */
public final class ReportBuilder {

  private static final int DIGITS = 3;
  private static final long BIN_MS = 1_000;
  private static final double US_PER_MS = 1_000;

  private final Experiment experiment;
  private final List<CallResult> results;
  private final long startWallMs;

  /** Builds from {@code results}; the first phase began at {@code startWallMs}. */
  public ReportBuilder(Experiment experiment, List<CallResult> results, long startWallMs) {
    this.experiment = experiment;
    this.results = List.copyOf(results);
    this.startWallMs = startWallMs;
  }

  /** Builds the report. */
  public Report build(
      List<Promise> promises,
      List<Report.Mark> marks,
      List<Sample> samples,
      long platformReads,
      long platformWrites) {
    return new Report(
        experiment.name(),
        experiment.seed(),
        promises.stream().allMatch(Promise::kept),
        promises,
        experiment.phases().stream().map(this::phase).toList(),
        experiment.callers().stream().map(this::team).toList(),
        marks,
        samples,
        bins(),
        downtimeMs(samples),
        strandedMs(samples),
        platformReads,
        platformWrites);
  }

  private Report.PhaseReport phase(Experiment.Phase phase) {
    List<CallResult> within =
        results.stream().filter(result -> result.arrival().phase() == phase).toList();
    long good = within.stream().filter(CallResult::good).count();
    SortedMap<String, Long> codes = new TreeMap<>();
    within.forEach(result -> codes.merge(codeName(result.last()), 1L, Long::sum));
    return new Report.PhaseReport(
        phase.name(),
        phase.forMs(),
        phase.factor(),
        within.size(),
        good,
        good * (double) BIN_MS / phase.forMs(),
        codes,
        latencies(within));
  }

  private List<Report.Latency> latencies(List<CallResult> within) {
    List<Report.Latency> latencies = new ArrayList<>();
    for (Experiment.Kind kind : experiment.kinds()) {
      Histogram first = new Histogram(DIGITS);
      Histogram total = new Histogram(DIGITS);
      Histogram gaps = new Histogram(DIGITS);
      for (CallResult result : within) {
        if (result.arrival().kind() == kind && result.whole()) {
          first.recordValue(Math.max(0, result.firstMs()) * (long) US_PER_MS);
          total.recordValue(Math.max(0, result.totalMs()) * (long) US_PER_MS);
          for (long gapUs : result.gapsUs()) {
            gaps.recordValue(Math.max(0, gapUs));
          }
        }
      }
      latencies.add(latency(kind.name(), "first", first));
      latencies.add(latency(kind.name(), "total", total));
      if (kind.form() == Experiment.Form.STREAM) {
        latencies.add(latency(kind.name(), "between", gaps));
      }
    }
    return latencies;
  }

  private static Report.Latency latency(String kind, String measure, Histogram us) {
    return new Report.Latency(
        kind,
        measure,
        us.getTotalCount(),
        us.getValueAtPercentile(50) / US_PER_MS,
        us.getValueAtPercentile(95) / US_PER_MS,
        us.getValueAtPercentile(99) / US_PER_MS,
        us.getMaxValue() / US_PER_MS);
  }

  private Report.TeamReport team(Experiment.Team team) {
    Histogram firstMs = new Histogram(DIGITS);
    long offered = 0;
    long good = 0;
    for (CallResult result : results) {
      if (result.arrival().team() != team || !result.arrival().phase().measured()) {
        continue;
      }
      offered++;
      if (result.good()) {
        good++;
        firstMs.recordValue(Math.max(0, result.firstMs()));
      }
    }
    return new Report.TeamReport(team.name(), offered, good, firstMs.getValueAtPercentile(95));
  }

  private List<Report.Bin> bins() {
    int count = (int) (experiment.durationMs() / BIN_MS) + 1;
    long[] offered = new long[count];
    long[] good = new long[count];
    List<Histogram> totals = new ArrayList<>();
    for (int bin = 0; bin < count; bin++) {
      totals.add(new Histogram(DIGITS));
    }
    for (CallResult result : results) {
      int due = (int) Math.min(count - 1, result.arrival().atMs() / BIN_MS);
      offered[due]++;
      if (result.good()) {
        int end = (int) Math.min(count - 1, (result.endedAtMs() - startWallMs) / BIN_MS);
        good[Math.max(0, end)]++;
        totals.get(due).recordValue(Math.max(0, result.totalMs()));
      }
    }
    List<Report.Bin> bins = new ArrayList<>();
    for (int bin = 0; bin < count; bin++) {
      double p95Ms = totals.get(bin).getValueAtPercentile(95);
      bins.add(new Report.Bin(bin * BIN_MS, offered[bin], good[bin], p95Ms));
    }
    return bins;
  }

  private static long downtimeMs(List<Sample> samples) {
    int most = samples.stream().mapToInt(Sample::groups).max().orElse(0);
    long sumMs = 0;
    for (int index = 1; index < samples.size(); index++) {
      long forMs = samples.get(index).atMs() - samples.get(index - 1).atMs();
      sumMs += forMs * (most - samples.get(index).groups());
    }
    return sumMs;
  }

  private static long strandedMs(List<Sample> samples) {
    long sumMs = 0;
    for (int index = 1; index < samples.size(); index++) {
      long forMs = samples.get(index).atMs() - samples.get(index - 1).atMs();
      sumMs += forMs * samples.get(index).strandedHosts();
    }
    return sumMs;
  }

  private static String codeName(Attempt attempt) {
    for (ResultCode code : ResultCode.values()) {
      if (code.number() == attempt.code()) {
        return code.number() + " " + code;
      }
    }
    return switch (attempt.code()) {
      case Attempt.CODE_REFUSED -> "connection refused";
      case Attempt.CODE_BROKEN -> "connection broken";
      case Attempt.CODE_WRONG -> "WRONG ANSWER";
      default -> String.format(Locale.ROOT, "%d", attempt.code());
    };
  }
}
