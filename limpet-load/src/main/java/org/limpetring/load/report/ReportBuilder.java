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
import org.limpetring.load.check.GuaranteeResult;
import org.limpetring.load.schedule.Experiment;

/** Computes the report of an experiment from the results of its requests. */
public final class ReportBuilder {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long BIN_MS = 1_000;
  private static final double US_PER_MS = 1_000;

  private final Experiment experiment;
  private final List<CallResult> results;
  private final long startWallMs;

  /** Builds from {@code results}; {@code startWallMs} is the start of the first phase. */
  public ReportBuilder(Experiment experiment, List<CallResult> results, long startWallMs) {
    this.experiment = experiment;
    this.results = List.copyOf(results);
    this.startWallMs = startWallMs;
  }

  /** Builds the report from the results, the guarantees, the steps and the samples. */
  public Report build(
      List<GuaranteeResult> guarantees,
      List<Report.Mark> marks,
      List<Sample> samples,
      long platformReads,
      long platformWrites) {
    return new Report(
        experiment.name(),
        experiment.seed(),
        guarantees.stream().allMatch(GuaranteeResult::holds),
        guarantees,
        experiment.phases().stream().map(this::phaseReport).toList(),
        experiment.callers().stream().map(this::teamReport).toList(),
        marks,
        samples,
        bins(),
        groupDowntimeMs(samples),
        strandedHostMs(samples),
        platformReads,
        platformWrites);
  }

  private Report.PhaseReport phaseReport(Experiment.Phase phase) {
    List<CallResult> phaseResults =
        results.stream().filter(result -> result.arrival().phase() == phase).toList();
    long good = phaseResults.stream().filter(CallResult::good).count();
    SortedMap<String, Long> codes = new TreeMap<>();
    phaseResults.forEach(result -> codes.merge(codeName(result.lastAttempt()), 1L, Long::sum));
    return new Report.PhaseReport(
        phase.name(),
        phase.forMs(),
        phase.factor(),
        phaseResults.size(),
        good,
        good * (double) BIN_MS / phase.forMs(),
        codes,
        latencies(phaseResults));
  }

  private List<Report.Latency> latencies(List<CallResult> phaseResults) {
    List<Report.Latency> latencies = new ArrayList<>();
    for (Experiment.Kind kind : experiment.kinds()) {
      Histogram firstUs = new Histogram(SIGNIFICANT_DIGITS);
      Histogram totalUs = new Histogram(SIGNIFICANT_DIGITS);
      Histogram gapsUs = new Histogram(SIGNIFICANT_DIGITS);
      for (CallResult result : phaseResults) {
        if (result.arrival().kind() == kind && result.complete()) {
          firstUs.recordValue(Math.max(0, result.firstEventMs()) * (long) US_PER_MS);
          totalUs.recordValue(Math.max(0, result.totalMs()) * (long) US_PER_MS);
          for (long gapUs : result.gapsUs()) {
            gapsUs.recordValue(Math.max(0, gapUs));
          }
        }
      }
      latencies.add(latency(kind.name(), "first", firstUs));
      latencies.add(latency(kind.name(), "total", totalUs));
      if (kind.form() == Experiment.Form.STREAM) {
        latencies.add(latency(kind.name(), "between", gapsUs));
      }
    }
    return latencies;
  }

  private static Report.Latency latency(String kind, String measure, Histogram histogramUs) {
    return new Report.Latency(
        kind,
        measure,
        histogramUs.getTotalCount(),
        histogramUs.getValueAtPercentile(50) / US_PER_MS,
        histogramUs.getValueAtPercentile(95) / US_PER_MS,
        histogramUs.getValueAtPercentile(99) / US_PER_MS,
        histogramUs.getMaxValue() / US_PER_MS);
  }

  private Report.TeamReport teamReport(Experiment.Team team) {
    Histogram firstMs = new Histogram(SIGNIFICANT_DIGITS);
    long offered = 0;
    long good = 0;
    for (CallResult result : results) {
      if (result.arrival().team() != team || !result.arrival().phase().measured()) {
        continue;
      }
      offered++;
      if (result.good()) {
        good++;
        firstMs.recordValue(Math.max(0, result.firstEventMs()));
      }
    }
    return new Report.TeamReport(team.name(), offered, good, firstMs.getValueAtPercentile(95));
  }

  private List<Report.Bin> bins() {
    int count = (int) (experiment.durationMs() / BIN_MS) + 1;
    long[] offered = new long[count];
    long[] good = new long[count];
    List<Histogram> totalsMs = new ArrayList<>();
    for (int bin = 0; bin < count; bin++) {
      totalsMs.add(new Histogram(SIGNIFICANT_DIGITS));
    }
    for (CallResult result : results) {
      int dueBin = (int) Math.min(count - 1, result.arrival().atMs() / BIN_MS);
      offered[dueBin]++;
      if (result.good()) {
        int endBin = (int) Math.min(count - 1, (result.endedAtMs() - startWallMs) / BIN_MS);
        good[Math.max(0, endBin)]++;
        totalsMs.get(dueBin).recordValue(Math.max(0, result.totalMs()));
      }
    }
    List<Report.Bin> bins = new ArrayList<>();
    for (int bin = 0; bin < count; bin++) {
      double p95Ms = totalsMs.get(bin).getValueAtPercentile(95);
      bins.add(new Report.Bin(bin * BIN_MS, offered[bin], good[bin], p95Ms));
    }
    return bins;
  }

  private static long groupDowntimeMs(List<Sample> samples) {
    int maxGroups = samples.stream().mapToInt(Sample::groups).max().orElse(0);
    long sumMs = 0;
    for (int index = 1; index < samples.size(); index++) {
      long forMs = samples.get(index).atMs() - samples.get(index - 1).atMs();
      sumMs += forMs * (maxGroups - samples.get(index).groups());
    }
    return sumMs;
  }

  private static long strandedHostMs(List<Sample> samples) {
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
