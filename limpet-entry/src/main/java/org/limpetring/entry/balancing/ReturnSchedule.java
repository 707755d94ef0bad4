package org.limpetring.entry.balancing;

import java.util.random.RandomGenerator;

/**
 * Decides when refused callers of one pool return.
 *
 * <p>Load pattern: many callers are refused within moments. If all are given the time until the
 * next slot frees up, all return at that time for a few slots and are refused again; while demand
 * exceeds the capacity, each return only adds to it. So each refusal books the next free part of
 * the capacity that arriving requests leave over, in the order of the refusals. Where none is left
 * within the time that a caller waits, the delay is nearly the longest that the caller waits for,
 * varied so that a burst does not return as one.
 */
public final class ReturnSchedule {

  /** Short against the objectives' multiples for which callers wait, long against single gaps. */
  private static final double ARRIVALS_TIME_CONSTANT_MS = 1_000;

  /**
   * Least part of the longest delay that is given without capacity. The time left must fall
   * recognisably; see {@link CallerPatience}.
   */
  private static final double MIN_LONGEST = 0.84;

  /** Lower bound of the delay. */
  private static final long MIN_DELAY_MS = 100;

  private double arrivals;
  private long countedMs;
  private double nextMs;

  /** Called when a request that can be on time arrived. */
  public void onArrival(long nowMs) {
    decay(nowMs);
    arrivals++;
  }

  private void decay(long nowMs) {
    arrivals *= Math.exp(-(nowMs - countedMs) / ARRIVALS_TIME_CONSTANT_MS);
    countedMs = nowMs;
  }

  /** Returns the requests per ms that arrive and can be on time. */
  public double arrivalsPerMs(long nowMs) {
    decay(nowMs);
    return arrivals / ARRIVALS_TIME_CONSTANT_MS;
  }

  /**
   * Returns the retry delay of a request that is refused now.
   *
   * @param waitMs time until capacity is expected at the earliest
   * @param capacityPerMs requests per ms that this daemon can serve
   */
  public long bookMs(
      Demand demand, double waitMs, double capacityPerMs, long nowMs, RandomGenerator random) {
    double longestMs = RefusedRequests.longestDelayMs(demand.abandonAtMs() - nowMs);
    double sparePerMs = capacityPerMs - arrivalsPerMs(nowMs);
    double atMs = Math.max(nowMs + Math.max(MIN_DELAY_MS, waitMs), nextMs);
    if (sparePerMs <= 0 || atMs - nowMs > longestMs) {
      return (long) (longestMs * (MIN_LONGEST + (1 - MIN_LONGEST) * random.nextDouble()));
    }
    nextMs = atMs + 1 / sparePerMs;
    return (long) (atMs - nowMs);
  }
}
