package org.limpetring.entry.place;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a request may be sent once more.
 *
 * <p>The bound on repeats holds for all daemons together in any window. Each daemon keeps to its
 * own requests' part and to an even part of the fixed extra, so no message is needed: the answer to
 * failing upstreams under full load, where repeats would add to the overload.
 */
public final class RetryBudget {

  /** Part of the bound that is used; the rest covers requests counted in another window. */
  private static final double USED_PART = 0.8;

  private static final int BUCKETS = 20;

  private final double ratio;
  private final double extra;
  private final long bucketMs;
  private final Map<String, ArrayDeque<long[]>> windows = new HashMap<>();

  /** Budget of one daemon, bounds as for all daemons together. */
  public RetryBudget(double ratio, double extra, long windowMs) {
    this.ratio = ratio;
    this.extra = extra;
    this.bucketMs = Math.max(1, windowMs / BUCKETS);
  }

  /** Counts a caller's request for a service. */
  public void onRequest(String service, long nowMs) {
    current(service, nowMs)[1]++;
  }

  /** Takes one repeat out of the budget, if there is one. */
  public boolean tryAcquire(String service, int daemons, long nowMs) {
    long[] bucket = current(service, nowMs);
    long requests = 0;
    long repeats = 0;
    for (long[] each : windows.getOrDefault(service, new ArrayDeque<>())) {
      requests += each[1];
      repeats += each[2];
    }
    double limit = USED_PART * (ratio * requests + extra / Math.max(1, daemons));
    if (repeats + 1 > limit) {
      return false;
    }
    bucket[2]++;
    return true;
  }

  /** Bucket of now: start, requests, repeats. */
  private long[] current(String service, long nowMs) {
    ArrayDeque<long[]> window = windows.computeIfAbsent(service, key -> new ArrayDeque<>());
    while (!window.isEmpty() && window.peekFirst()[0] <= nowMs - BUCKETS * bucketMs) {
      window.pollFirst();
    }
    long start = nowMs - Math.floorMod(nowMs, bucketMs);
    long[] last = window.peekLast();
    if (last == null || last[0] != start) {
      last = new long[] {start, 0, 0};
      window.addLast(last);
    }
    return last;
  }
}
