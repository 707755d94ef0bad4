package org.limpetring.load.report;

import java.util.List;
import java.util.SortedMap;
import org.limpetring.load.check.Promise;

/**
 * Result of one experiment.
 *
 * @param pass whether each promise was kept
 * @param groupDowntimeMs time that groups were missing, summed over groups, against the most groups
 *     that ever served
 * @param strandedHostMs time that healthy hosts sat idle, summed over hosts
 * @param platformReads calls that read from the platform, waiting watches included
 * @param platformWrites calls that wrote to it
 */
public record Report(
    String experiment,
    long seed,
    boolean pass,
    List<Promise> promises,
    List<PhaseReport> phases,
    List<TeamReport> teams,
    List<Mark> marks,
    List<Sample> samples,
    List<Bin> bins,
    long groupDowntimeMs,
    long strandedHostMs,
    long platformReads,
    long platformWrites) {

  /**
   * One phase of load.
   *
   * @param goodPerSecond whole own answers within the deadline, by second
   * @param codes requests by the result code of their last try
   */
  public record PhaseReport(
      String name,
      long forMs,
      double factor,
      long offered,
      long good,
      double goodPerSecond,
      SortedMap<String, Long> codes,
      List<Latency> latencies) {}

  /** Latency of whole answers: percentiles in milliseconds. */
  public record Latency(
      String kind, String measure, long count, double p50, double p95, double p99, double max) {}

  /** One team over all measured phases. */
  public record TeamReport(String name, long offered, long good, double firstP95Ms) {}

  /** Act at a time after the start of the first phase. */
  public record Mark(long atMs, String label) {}

  /** One second of the run: requests due, good answers, and p95 of the total time in ms. */
  public record Bin(long atMs, long offered, long good, double totalP95Ms) {}
}
