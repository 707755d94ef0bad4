package org.limpetring.entry.balancing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits retries to a share of requests in a sliding window.
 *
 * <p>The bound applies to all daemons together in any window. Each daemon uses the share of its own
 * requests and an equal part of the fixed allowance, so no messages are needed. This keeps retries
 * from adding to the overload when upstreams fail under full load.
 */
public final class RetryBudget {

  /** Part of the bound that is used; the rest covers requests that another window counts. */
  private static final double USED_FRACTION = 0.8;

  private static final int BUCKETS = 20;

  private final double ratio;
  private final double allowance;
  private final long bucketMs;
  private final Map<String, ArrayDeque<long[]>> windows = new HashMap<>();

  /** Creates the budget of one daemon from the bounds for all daemons together. */
  public RetryBudget(double ratio, double allowance, long windowMs) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.bucketMs = Math.max(1, windowMs / BUCKETS);
  }

  /** Counts a caller's request for a service. */
  public void onRequest(String service, long nowMs) {
    currentBucket(service, nowMs)[1]++;
  }

  /** Takes one retry from the budget; returns false if it is spent. */
  public boolean tryAcquire(String service, int daemons, long nowMs) {
    long[] bucket = currentBucket(service, nowMs);
    long requests = 0;
    long retries = 0;
    for (long[] each : windows.getOrDefault(service, new ArrayDeque<>())) {
      requests += each[1];
      retries += each[2];
    }
    double limit = USED_FRACTION * (ratio * requests + allowance / Math.max(1, daemons));
    if (retries + 1 > limit) {
      return false;
    }
    bucket[2]++;
    return true;
  }

  /** Returns the current bucket, which is {start, requests, retries}. */
  private long[] currentBucket(String service, long nowMs) {
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
