package org.limpetring.routing.poison;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.Ticker;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.groups.ServingGroup;

/**
 * Tracks the requests that were in progress at upstream crashes and decides which are refused as
 * poison.
 *
 * <p>A request in progress at a crash becomes a suspect: this daemon still dispatches it, but only
 * one try at a time and to one group. After two crashes it is poison. A suspect that completes
 * successfully is cleared, so a host that fails with many requests in progress makes none of them
 * poison. A crash is identified by the upstream's group and incarnation, and daemons merge their
 * sets of crashes, so that no crash is counted twice. Thread-safe.
 */
public final class PoisonTracker {

  /** Number of upstreams, fleet-wide, that one request may crash before it is refused. */
  public static final int MAX_CRASHES = 2;

  private static final long RETENTION_MINUTES = 60;

  /** Decision on a request before its dispatch. */
  public enum Verdict {
    /** Not suspected. */
    FREE,
    /** Suspected; this try is the only one in progress in this daemon. */
    EXCLUSIVE,
    /** Suspected, and another try of the same request is in progress in this daemon. */
    WAIT,
    /** Refused permanently. */
    POISON
  }

  private record Suspicion(Set<String> incarnations, boolean isCleared) {}

  private final Cache<Fingerprint, Suspicion> suspicions;
  private final Map<Fingerprint, Integer> inProgress = new HashMap<>();

  /**
   * Creates a tracker of at most {@code maxFingerprints} requests, each kept for an hour after its
   * last change.
   */
  public PoisonTracker(int maxFingerprints, Clock clock) {
    Ticker ticker = () -> TimeUnit.MILLISECONDS.toNanos(clock.nowMs());
    this.suspicions =
        Caffeine.newBuilder()
            .maximumSize(maxFingerprints)
            .expireAfterWrite(RETENTION_MINUTES, TimeUnit.MINUTES)
            .ticker(ticker)
            .build();
  }

  /**
   * Registers a try right before its dispatch; FREE and EXCLUSIVE must be followed by {@link #end}.
   */
  public synchronized Verdict begin(Fingerprint fingerprint) {
    Suspicion suspicion = suspicions.getIfPresent(fingerprint);
    int othersInProgress = inProgress.getOrDefault(fingerprint, 0);
    Verdict verdict = verdict(suspicion, othersInProgress);
    if (verdict == Verdict.FREE || verdict == Verdict.EXCLUSIVE) {
      inProgress.put(fingerprint, othersInProgress + 1);
    }
    return verdict;
  }

  private static Verdict verdict(@Nullable Suspicion suspicion, int othersInProgress) {
    if (suspicion == null || suspicion.isCleared()) {
      return Verdict.FREE;
    }
    if (suspicion.incarnations().size() >= MAX_CRASHES) {
      return Verdict.POISON;
    }
    return othersInProgress > 0 ? Verdict.WAIT : Verdict.EXCLUSIVE;
  }

  /** Ends a try, whether it succeeded or failed. */
  public synchronized void end(Fingerprint fingerprint) {
    inProgress.computeIfPresent(fingerprint, (key, count) -> count > 1 ? count - 1 : null);
  }

  /** Records that the group crashed while the request ran there; returns the notice to publish. */
  public synchronized CrashNotice recordCrash(Fingerprint fingerprint, ServingGroup group) {
    Set<String> incarnation = Set.of(group.id() + "@" + group.incarnation());
    mergeCrashes(fingerprint, incarnation, false);
    Suspicion merged = suspicions.getIfPresent(fingerprint);
    return new CrashNotice(
        fingerprint, merged == null ? incarnation : merged.incarnations(), false);
  }

  /** Records a complete response; returns the notice to publish if the request was a suspect. */
  public synchronized Optional<CrashNotice> recordSuccess(Fingerprint fingerprint) {
    Suspicion suspicion = suspicions.getIfPresent(fingerprint);
    if (suspicion == null
        || suspicion.isCleared()
        || suspicion.incarnations().size() >= MAX_CRASHES) {
      return Optional.empty();
    }
    suspicions.put(fingerprint, new Suspicion(suspicion.incarnations(), true));
    return Optional.of(new CrashNotice(fingerprint, suspicion.incarnations(), true));
  }

  /** Merges a notice from another daemon; returns whether the state changed. */
  public synchronized boolean merge(CrashNotice notice) {
    Suspicion before = suspicions.getIfPresent(notice.fingerprint());
    mergeCrashes(notice.fingerprint(), notice.lives(), notice.cleared());
    return !Objects.equals(before, suspicions.getIfPresent(notice.fingerprint()));
  }

  /**
   * Merges crashes; the request stays cleared only if the side that cleared it knew all of them.
   */
  private void mergeCrashes(Fingerprint fingerprint, Set<String> incarnations, boolean isCleared) {
    Suspicion known = suspicions.getIfPresent(fingerprint);
    if (known == null) {
      suspicions.put(fingerprint, new Suspicion(Set.copyOf(incarnations), isCleared));
      return;
    }
    Set<String> merged = new HashSet<>(Sets.union(known.incarnations(), incarnations));
    boolean isClearedHere = known.isCleared() && known.incarnations().containsAll(merged);
    boolean isClearedThere = isCleared && incarnations.containsAll(merged);
    Suspicion after = new Suspicion(Set.copyOf(merged), isClearedHere || isClearedThere);
    if (!after.equals(known)) {
      suspicions.put(fingerprint, after);
    }
  }

  /** Returns all suspicions, to synchronize daemons that missed notices. */
  public synchronized List<CrashNotice> notices() {
    return suspicions.asMap().entrySet().stream()
        .map(
            item ->
                new CrashNotice(
                    item.getKey(), item.getValue().incarnations(), item.getValue().isCleared()))
        .toList();
  }
}
