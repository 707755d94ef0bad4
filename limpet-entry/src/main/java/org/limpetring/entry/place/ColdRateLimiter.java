package org.limpetring.entry.place;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.limpetring.base.Rendezvous;

/**
 * Decides whether a cold upstream may get one more request from this daemon.
 *
 * <p>Load pattern: a failure domain comes back cold while all daemons, few or hundreds, have work
 * waiting. A few daemons, computed from the known names by rendezvous hashing, share what the
 * upstream bears; the others send it nothing. So no message is needed, and the single requests with
 * which the shares begin stay a small part of the bound in a fleet of any size.
 */
public final class ColdRateLimiter {

  /** Part of the upstream's rate that is handed out; the rest covers differing lists of daemons. */
  private static final double USED_PART = 0.9;

  /** Senders for each request a second that the upstream bears; each may begin with a request. */
  private static final double SENDERS_PER_RATE = 1.0 / 3;

  private static final double MS_PER_S = 1_000;

  private static final class Bucket {
    double tokens = 1;
    long refilledMs;
    int knownDaemons = -1;
    int senders;
    boolean isSender;
  }

  private final String ownName;
  private final Map<String, Bucket> buckets = new HashMap<>();

  /** Shares of the daemon {@code ownName}. */
  public ColdRateLimiter(String ownName) {
    this.ownName = ownName;
  }

  /**
   * Takes one request out of the upstream's share, if there is one.
   *
   * @param perSecond requests a second that the upstream bears of all daemons
   * @param daemons names of all known daemons, this one among them; names only join the list
   */
  public boolean tryAcquire(
      String upstreamLife, double perSecond, Collection<String> daemons, long nowMs) {
    Bucket bucket = buckets.get(upstreamLife);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.refilledMs = nowMs;
      buckets.put(upstreamLife, bucket);
    }
    if (bucket.knownDaemons != daemons.size()) {
      chooseSenders(bucket, upstreamLife, perSecond, daemons);
    }
    double refill = (nowMs - bucket.refilledMs) / MS_PER_S * perSecond * USED_PART / bucket.senders;
    bucket.tokens = Math.min(1, bucket.tokens + refill);
    bucket.refilledMs = nowMs;
    if (!bucket.isSender || bucket.tokens < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  private void chooseSenders(
      Bucket bucket, String upstreamLife, double perSecond, Collection<String> daemons) {
    int most = Math.max(1, (int) (perSecond * SENDERS_PER_RATE));
    bucket.knownDaemons = daemons.size();
    bucket.senders = Math.max(1, Math.min(most, daemons.size()));
    bucket.isSender = Rendezvous.owners(upstreamLife, daemons, most).contains(ownName);
  }

  /** Forgets upstreams that were not cold for a while. */
  public void forgetBefore(long beforeMs) {
    buckets.values().removeIf(bucket -> bucket.refilledMs < beforeMs);
  }
}
