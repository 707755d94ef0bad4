package org.limpetring.entry.balancing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.limpetring.base.Rendezvous;

/**
 * Limits the rate at which this daemon sends requests to cold upstreams.
 *
 * <p>Load pattern: a failure domain comes back cold while all daemons, few or hundreds, have queued
 * requests. Rendezvous hashing over the known daemon names selects a few senders for each upstream,
 * which share its cold rate through a token bucket each; the others send nothing. This needs no
 * messages, and the initial token of each bucket stays a small part of the rate at any fleet size.
 */
public final class ColdRateLimiter {

  /** Part of the cold rate that is used; the rest covers daemons with differing daemon lists. */
  private static final double USED_FRACTION = 0.9;

  /** Senders per request/s of the cold rate; each sender starts with one token. */
  private static final double SENDERS_PER_RATE = 1.0 / 3;

  private static final double MS_PER_S = 1_000;

  private static final class Bucket {
    double tokens = 1;
    long lastRefillMs;
    int daemonCount = -1;
    int senders;
    boolean isSender;
  }

  private final String ownName;
  private final Map<String, Bucket> buckets = new HashMap<>();

  /** Creates the limiter of the daemon {@code ownName}. */
  public ColdRateLimiter(String ownName) {
    this.ownName = ownName;
  }

  /**
   * Takes one token from the upstream's bucket; returns false if there is none.
   *
   * @param requestsPerSecond cold rate of the upstream, for all daemons together
   * @param daemons names of all known daemons with this one; names are only ever added
   */
  public boolean tryAcquire(
      String incarnation, double requestsPerSecond, Collection<String> daemons, long nowMs) {
    Bucket bucket = buckets.get(incarnation);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.lastRefillMs = nowMs;
      buckets.put(incarnation, bucket);
    }
    if (bucket.daemonCount != daemons.size()) {
      chooseSenders(bucket, incarnation, requestsPerSecond, daemons);
    }
    double refill =
        (nowMs - bucket.lastRefillMs)
            / MS_PER_S
            * requestsPerSecond
            * USED_FRACTION
            / bucket.senders;
    bucket.tokens = Math.min(1, bucket.tokens + refill);
    bucket.lastRefillMs = nowMs;
    if (!bucket.isSender || bucket.tokens < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  private void chooseSenders(
      Bucket bucket, String incarnation, double requestsPerSecond, Collection<String> daemons) {
    int maxSenders = Math.max(1, (int) (requestsPerSecond * SENDERS_PER_RATE));
    bucket.daemonCount = daemons.size();
    bucket.senders = Math.max(1, Math.min(maxSenders, daemons.size()));
    bucket.isSender = Rendezvous.owners(incarnation, daemons, maxSenders).contains(ownName);
  }

  /** Removes buckets that were last used before {@code beforeMs}. */
  public void forgetBefore(long beforeMs) {
    buckets.values().removeIf(bucket -> bucket.lastRefillMs < beforeMs);
  }
}
