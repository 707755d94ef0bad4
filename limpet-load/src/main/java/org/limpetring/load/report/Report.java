package org.limpetring.load.report;

import java.util.List;
import java.util.SortedMap;
import org.limpetring.load.check.GuaranteeResult;

/**
 * Result of one experiment. It is written as JSON under the component names.
 *
 * @param pass whether all guarantees held
 * @param promises result of each guarantee
 * @param marks steps of the experiment, as performed
 * @param groupDowntimeMs sum over the run of the time in which groups were missing, relative to the
 *     highest number of groups serving at once
 * @param strandedHostMs time that healthy hosts were idle, summed over hosts
 * @param platformReads read calls to the platform, including long-polling watches
 * @param platformWrites write calls to the platform
 */
public record Report(
    String experiment,
    long seed,
    boolean pass,
    List<GuaranteeResult> promises,
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
   * @param forMs length of the phase
   * @param goodPerSecond goodput: complete responses within the deadline per second
   * @param codes requests by the result code of their last attempt
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

  /** Latency percentiles of complete responses, in milliseconds. */
  public record Latency(
      String kind, String measure, long count, double p50, double p95, double p99, double max) {}

  /** Totals of one team over all measured phases. */
  public record TeamReport(String name, long offered, long good, double firstP95Ms) {}

  /** Step performed {@code atMs} after the start of the first phase. */
  public record Mark(long atMs, String label) {}

  /** One second of the run: requests due, good responses, and p95 of the total time in ms. */
  public record Bin(long atMs, long offered, long good, double totalP95Ms) {}
}
