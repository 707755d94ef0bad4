package org.limpetring.entry.balancing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers refused requests and recognises their repeats.
 *
 * <p>Load pattern: callers that were refused return, some of them at once. Each repeat looks like a
 * new request that can still be on time, although its time counts from the caller's first attempt;
 * so repeats take the slots of requests that would be on time, and their number makes the demand
 * look larger than it is. A repeat that comes before the end of its retry delay is refused with
 * what is left of the delay; a later one is known to be late.
 */
public final class RefusedRequests {

  /** What is known of an arriving request. */
  public enum Sighting {
    /** Not a repeat as far as this daemon knows. */
    NEW,
    /** A repeat whose retry delay is not over. */
    EARLY,
    /** A repeat after its retry delay. */
    DUE
  }

  /** Refusals that are remembered; several seconds of one daemon's refusals at eight times load. */
  private static final int MAX_REFUSALS = 8_192;

  /** Part of its remaining time that a caller waits at most, whatever the retry delay says. */
  private static final int WAITED_DIVISOR = 3;

  /** Time by which a caller's timers and the network make a repeat look early. */
  private static final long TOLERANCE_MS = 30;

  private record Refusal(long dueMs, long abandonAtMs) {}

  private final Map<Long, Refusal> refusals =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Refusal> eldest) {
          return size() > MAX_REFUSALS;
        }
      };

  /** Whether nothing is remembered, so that fingerprints need not be computed. */
  public boolean isEmpty() {
    return refusals.isEmpty();
  }

  /**
   * Identifies a request among those of a route by a hash of what only its repeats share.
   *
   * @param scope narrows {@code hash} where it is of a body, which requests of others may share
   */
  public static long fingerprint(String route, String scope, int hash) {
    long mixed = 1 + 31L * route.hashCode() + scope.hashCode();
    return mixed * 0x9E37_79B9_7F4A_7C15L + hash;
  }

  /** Returns the longest retry delay that a caller with that much time left waits for. */
  public static long longestDelayMs(long leftMs) {
    return Math.max(0, leftMs / WAITED_DIVISOR);
  }

  /** Records a refusal with its retry delay; the caller's time ends at {@code abandonAtMs}. */
  public void onRefused(long fingerprint, long retryAfterMs, long abandonAtMs, long nowMs) {
    long delayMs = Math.min(retryAfterMs, longestDelayMs(abandonAtMs - nowMs));
    refusals.remove(fingerprint);
    refusals.put(fingerprint, new Refusal(nowMs + delayMs, abandonAtMs));
  }

  /** Classifies an arriving request. */
  public Sighting sight(long fingerprint, long nowMs) {
    Refusal refusal = refusals.get(fingerprint);
    if (refusal == null || nowMs > refusal.abandonAtMs()) {
      return Sighting.NEW;
    }
    return nowMs < refusal.dueMs() - TOLERANCE_MS ? Sighting.EARLY : Sighting.DUE;
  }

  /** Returns what is left of the retry delay; 0 if it is over or the request is unknown. */
  public long leftMs(long fingerprint, long nowMs) {
    Refusal refusal = refusals.get(fingerprint);
    return refusal == null ? 0 : Math.max(0, refusal.dueMs() - nowMs);
  }

  /** Discards refusals whose callers' time is over. */
  public void sweep(long nowMs) {
    refusals.values().removeIf(refusal -> nowMs > refusal.abandonAtMs());
  }
}
