package org.limpetring.entry.balancing;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * Learns the part of the time to the first event that an engine's figures do not explain, for one
 * model.
 *
 * <p>Load pattern: first events of a model arrive later than the declared figures say by a nearly
 * constant time, at any load. A request that is admitted by the figures alone is then late although
 * a slot was free, and its slot is missing for one that could have been on time.
 *
 * <p>The offset is the median of the most recent observations: single slow hosts and requests that
 * queued in an engine do not move it. Outdated observations are discarded, since hosts and networks
 * recover.
 */
public final class FirstEventOffset {

  /** Observations that the median is taken of; one daemon of many has about one per second. */
  private static final int MAX_OBSERVATIONS = 33;

  /** Fewer observations say nothing. */
  private static final int MIN_OBSERVATIONS = 3;

  /** Age at which an observation is discarded. */
  static final long MAX_AGE_MS = 30_000;

  /** Part of the first events that the spread covers; the rest are outliers. */
  private static final double NEARLY_ALL = 0.9;

  private record Observation(double unexplainedMs, long atMs) {}

  private final ArrayDeque<Observation> observations = new ArrayDeque<>();
  private double medianMs;
  private double spreadMs;
  private boolean isChanged;

  /** Records a first event that arrived {@code unexplainedMs} later than the figures say. */
  public void observe(double unexplainedMs, long nowMs) {
    observations.add(new Observation(unexplainedMs, nowMs));
    if (observations.size() > MAX_OBSERVATIONS) {
      observations.remove();
    }
    isChanged = true;
  }

  /** Returns the time to add to what the figures say; 0 while it is unknown. */
  public double offsetMs(long nowMs) {
    refresh(nowMs);
    return medianMs;
  }

  /** Returns by how much nearly all first events exceed {@link #offsetMs} at most. */
  public double spreadMs(long nowMs) {
    refresh(nowMs);
    return spreadMs;
  }

  private void refresh(long nowMs) {
    while (!observations.isEmpty() && nowMs - observations.peek().atMs() > MAX_AGE_MS) {
      observations.remove();
      isChanged = true;
    }
    if (!isChanged) {
      return;
    }
    isChanged = false;
    medianMs = 0;
    spreadMs = 0;
    if (observations.size() >= MIN_OBSERVATIONS) {
      double[] sorted = observations.stream().mapToDouble(Observation::unexplainedMs).toArray();
      Arrays.sort(sorted);
      medianMs = Math.max(0, sorted[sorted.length / 2]);
      spreadMs = Math.max(0, sorted[(int) (sorted.length * NEARLY_ALL)] - medianMs);
    }
  }
}
