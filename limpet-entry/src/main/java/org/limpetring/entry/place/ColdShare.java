package org.limpetring.entry.place;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a cold upstream may get one more request from this daemon.
 *
 * <p>An even part of what the upstream bears, for each daemon, without any message: the answer to a
 * failure domain that comes back cold while all daemons have work waiting.
 */
public final class ColdShare {

  private static final double MS_PER_S = 1_000;

  private static final class Bucket {
    double tokens = 1;
    long refilledMs;
  }

  private final Map<String, Bucket> buckets = new HashMap<>();

  /**
   * Takes one request out of the upstream's share, if there is one.
   *
   * @param perSecond requests a second that the upstream bears of all daemons
   */
  public boolean tryTake(String upstreamLife, double perSecond, int daemons, long nowMs) {
    Bucket bucket = buckets.get(upstreamLife);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.refilledMs = nowMs;
      buckets.put(upstreamLife, bucket);
    }
    double refill = (nowMs - bucket.refilledMs) / MS_PER_S * perSecond / Math.max(1, daemons);
    bucket.tokens = Math.min(1, bucket.tokens + refill);
    bucket.refilledMs = nowMs;
    if (bucket.tokens < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  /** Forgets upstreams that were not cold for a while. */
  public void forgetBefore(long beforeMs) {
    buckets.values().removeIf(bucket -> bucket.refilledMs < beforeMs);
  }
}
