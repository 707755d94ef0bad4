package org.limpetring.entry.balancing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.limpetring.base.Rendezvous;

/**
 * Limits the rate at which this daemon sends requests to upstreams that take only so many from all
 * daemons together: cold ones, and those that named a limit.
 *
 * <p>Load pattern: a failure domain comes back cold, or an upstream in need names a limit, while
 * all daemons, few or hundreds, have requests for it. Rendezvous hashing over the known daemon
 * names selects a few senders for each upstream, which share its rate through a token bucket each;
 * the others send nothing. This needs no messages, so a daemon that is cut off from the others
 * keeps its share, and the initial token of each bucket stays a small part of the rate at any fleet
 * size.
 */
public final class SharedRateLimiter {

  /** Next send of a daemon that is no sender, or whose share is nothing. */
  public static final long NEVER_MS = Long.MAX_VALUE;

  private static final double MS_PER_S = 1_000;

  /** Tolerance for the sum of many refills. */
  private static final double TOKEN_ERROR = 1e-6;

  private static final class Bucket {
    double tokens = 1;
    double tokensPerMs;
    long lastRefillMs;
    int daemonCount = -1;
    int rank;
  }

  private final String ownName;
  private final Map<String, Bucket> buckets = new HashMap<>();

  /** Creates the limiter of the daemon {@code ownName}. */
  public SharedRateLimiter(String ownName) {
    this.ownName = ownName;
  }

  /**
   * Takes one token from the upstream's bucket; returns false if there is none.
   *
   * @param rate rate of the upstream
   * @param daemons names of all known daemons with this one; names are only ever added
   */
  public boolean tryAcquire(
      String incarnation, SharedRate rate, Collection<String> daemons, long nowMs) {
    Bucket bucket = refilled(incarnation, rate, daemons, nowMs);
    boolean hasToken = bucket.tokensPerMs > 0 && bucket.tokens >= 1 - TOKEN_ERROR;
    if (hasToken) {
      bucket.tokens = Math.max(0, bucket.tokens - 1);
    }
    return hasToken;
  }

  /** Returns when this daemon has a token for the upstream; {@link #NEVER_MS} if it gets none. */
  public long nextSendMs(
      String incarnation, SharedRate rate, Collection<String> daemons, long nowMs) {
    Bucket bucket = refilled(incarnation, rate, daemons, nowMs);
    if (bucket.tokensPerMs <= 0) {
      return NEVER_MS;
    }
    double missing = 1 - TOKEN_ERROR - bucket.tokens;
    return missing <= 0 ? nowMs : nowMs + (long) Math.ceil(missing / bucket.tokensPerMs);
  }

  /** Returns this daemon's share of the rate in requests per ms; 0 if it is no sender. */
  public double ownRatePerMs(
      String incarnation, SharedRate rate, Collection<String> daemons, long nowMs) {
    return refilled(incarnation, rate, daemons, nowMs).tokensPerMs;
  }

  /** Returns this daemon's place in the order in which daemons become senders of the upstream. */
  public int rank(String incarnation, SharedRate rate, Collection<String> daemons, long nowMs) {
    return refilled(incarnation, rate, daemons, nowMs).rank;
  }

  private Bucket refilled(
      String incarnation, SharedRate rate, Collection<String> daemons, long nowMs) {
    Bucket bucket = buckets.get(incarnation);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.lastRefillMs = nowMs;
      buckets.put(incarnation, bucket);
    }
    if (bucket.daemonCount != daemons.size()) {
      bucket.daemonCount = daemons.size();
      bucket.rank = Rendezvous.rank(incarnation, daemons, ownName);
    }
    int senders = Math.max(1, Math.min(rate.senders(), daemons.size()));
    bucket.tokensPerMs = bucket.rank < senders ? rate.requestsPerSecond() / senders / MS_PER_S : 0;
    bucket.tokens = Math.min(1, bucket.tokens + (nowMs - bucket.lastRefillMs) * bucket.tokensPerMs);
    bucket.lastRefillMs = nowMs;
    return bucket;
  }

  /** Removes buckets that were last used before {@code beforeMs}. */
  public void forgetBefore(long beforeMs) {
    buckets.values().removeIf(bucket -> bucket.lastRefillMs < beforeMs);
  }
}
