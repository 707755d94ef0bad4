package org.limpetring.entry.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Exponentially weighted demand for each model at this daemon: rates of all requests and of unmet
 * ones, and run time.
 */
public final class DemandMeter {

  /** Long against the gaps between one daemon's requests, short against a change of traffic. */
  private static final double TIME_CONSTANT_MS = 3_000;

  private static final double MS_PER_MINUTE = 60_000;

  /** Ranks of unmet requests that are told apart; less urgent ones count as the last. */
  private static final int RANKS = 4;

  /** Weight of a new run time in the moving average. */
  private static final double RUN_WEIGHT = 0.05;

  /** Runs after which the average is used. */
  private static final int MIN_RUNS = 10;

  private static final class ModelDemand {
    double count;
    long countedMs;
    double runMs;
    int runs;

    /** Unmet requests by rank. */
    final double[] unmet = new double[RANKS];

    void decay(long nowMs) {
      double factor = Math.exp(-(nowMs - countedMs) / TIME_CONSTANT_MS);
      count *= factor;
      for (int rank = 0; rank < RANKS; rank++) {
        unmet[rank] *= factor;
      }
      countedMs = nowMs;
    }
  }

  private final Map<String, ModelDemand> models = new TreeMap<>();

  private ModelDemand of(String model, long nowMs) {
    ModelDemand demand = models.computeIfAbsent(model, key -> new ModelDemand());
    demand.decay(nowMs);
    return demand;
  }

  /** Called when a request for the model arrived. */
  public void onRequest(String model, long nowMs) {
    of(model, nowMs).count++;
  }

  /** Called when a request was refused for want of a slot or answered late. */
  public void onUnmet(String model, int rank, long nowMs) {
    of(model, nowMs).unmet[Math.min(RANKS - 1, Math.max(0, rank))]++;
  }

  /** Returns the rates of unmet requests by model, and by rank with the most urgent first. */
  public Map<String, List<Integer>> unmetPerMinute(long nowMs) {
    Map<String, List<Integer>> rates = new TreeMap<>();
    for (String model : models.keySet()) {
      List<Integer> byRank = new ArrayList<>(RANKS);
      for (double count : of(model, nowMs).unmet) {
        byRank.add((int) Math.round(count * MS_PER_MINUTE / TIME_CONSTANT_MS));
      }
      rates.put(model, byRank);
    }
    return rates;
  }

  /** Called when a request that occupied a slot for {@code runMs} was served. */
  public void onServed(String model, long runMs, long nowMs) {
    ModelDemand demand = of(model, nowMs);
    demand.runs++;
    demand.runMs += Math.max(RUN_WEIGHT, 1.0 / demand.runs) * (runMs - demand.runMs);
  }

  /** Returns the rate in requests per minute. */
  public int requestsPerMinute(String model, long nowMs) {
    return (int) Math.round(of(model, nowMs).count * MS_PER_MINUTE / TIME_CONSTANT_MS);
  }

  /** Returns the rates of all models that were requested. */
  public Map<String, Integer> requestsPerMinute(long nowMs) {
    Map<String, Integer> rates = new TreeMap<>();
    for (String model : models.keySet()) {
      rates.put(model, requestsPerMinute(model, nowMs));
    }
    return rates;
  }

  /**
   * Returns how many slots the requests of a fleet occupy on average; 0 while run times are
   * unknown.
   *
   * @param fleetRequestsPerMinute rate of all daemons together
   */
  public double slotsNeeded(String model, int fleetRequestsPerMinute, long nowMs) {
    ModelDemand demand = of(model, nowMs);
    return demand.runs < MIN_RUNS ? 0 : fleetRequestsPerMinute * demand.runMs / MS_PER_MINUTE;
  }
}
