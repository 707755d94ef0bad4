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
 * Decides which requests are refused because they crash upstreams.
 *
 * <p>A request in progress at a crash is a suspect: it may be tried again, but by one try at a time
 * and at one group at a time in this daemon. It is poison after two crashes. Where a suspect ends
 * well it is cleared, so a host that dies with many requests in progress makes none of them poison.
 * Crashes are counted as upstream lives (group and incarnation), and their sets are joined between
 * daemons, so no crash counts twice. Safe for use by many threads.
 */
public final class PoisonTracker {

  /** Upstreams that one request may crash, fleet-wide. */
  public static final int MAX_CRASHES = 2;

  private static final long MEMORY_MINUTES = 60;

  /** What is decided of a request before its dispatch. */
  public enum Verdict {
    /** Not suspected. */
    FREE,
    /** Suspected; this try is the only one in progress here and must be ended. */
    EXCLUSIVE,
    /** Suspected, and another try of the same request is in progress here. */
    WAIT,
    /** Refused for good. */
    POISON
  }

  private record Suspicion(Set<String> lives, boolean isCleared) {}

  private final Cache<Fingerprint, Suspicion> suspicions;
  private final Map<Fingerprint, Integer> inProgress = new HashMap<>();

  /** Book that remembers at most {@code maxFingerprints} requests, for an hour after a change. */
  public PoisonTracker(int maxFingerprints, Clock clock) {
    Ticker ticker = () -> TimeUnit.MILLISECONDS.toNanos(clock.nowMs());
    this.suspicions =
        Caffeine.newBuilder()
            .maximumSize(maxFingerprints)
            .expireAfterWrite(MEMORY_MINUTES, TimeUnit.MINUTES)
            .ticker(ticker)
            .build();
  }

  /** Asks right before a dispatch; FREE and EXCLUSIVE must be followed by {@link #end}. */
  public synchronized Verdict begin(Fingerprint fingerprint) {
    Suspicion suspicion = suspicions.getIfPresent(fingerprint);
    int others = inProgress.getOrDefault(fingerprint, 0);
    Verdict verdict = verdict(suspicion, others);
    if (verdict == Verdict.FREE || verdict == Verdict.EXCLUSIVE) {
      inProgress.put(fingerprint, others + 1);
    }
    return verdict;
  }

  private static Verdict verdict(@Nullable Suspicion suspicion, int others) {
    if (suspicion == null || suspicion.isCleared()) {
      return Verdict.FREE;
    }
    if (suspicion.lives().size() >= MAX_CRASHES) {
      return Verdict.POISON;
    }
    return others > 0 ? Verdict.WAIT : Verdict.EXCLUSIVE;
  }

  /** The try ended, well or not. */
  public synchronized void end(Fingerprint fingerprint) {
    inProgress.computeIfPresent(fingerprint, (key, count) -> count > 1 ? count - 1 : null);
  }

  /** The group crashed while the request ran there; returns the notice to spread. */
  public synchronized CrashNotice recordCrash(Fingerprint fingerprint, ServingGroup group) {
    Set<String> life = Set.of(group.id() + "@" + group.incarnation());
    join(fingerprint, life, false);
    Suspicion joined = suspicions.getIfPresent(fingerprint);
    return new CrashNotice(fingerprint, joined == null ? life : joined.lives(), false);
  }

  /** The request got its whole answer; returns the notice to spread where it was a suspect. */
  public synchronized Optional<CrashNotice> recordSuccess(Fingerprint fingerprint) {
    Suspicion suspicion = suspicions.getIfPresent(fingerprint);
    if (suspicion == null || suspicion.isCleared() || suspicion.lives().size() >= MAX_CRASHES) {
      return Optional.empty();
    }
    suspicions.put(fingerprint, new Suspicion(suspicion.lives(), true));
    return Optional.of(new CrashNotice(fingerprint, suspicion.lives(), true));
  }

  /** Takes a notice of another daemon; returns whether it changed something. */
  public synchronized boolean merge(CrashNotice notice) {
    Suspicion before = suspicions.getIfPresent(notice.fingerprint());
    join(notice.fingerprint(), notice.lives(), notice.cleared());
    return !Objects.equals(before, suspicions.getIfPresent(notice.fingerprint()));
  }

  /** A crash unknown to the one who cleared the request makes it a suspect again. */
  private void join(Fingerprint fingerprint, Set<String> lives, boolean isCleared) {
    Suspicion known = suspicions.getIfPresent(fingerprint);
    if (known == null) {
      suspicions.put(fingerprint, new Suspicion(Set.copyOf(lives), isCleared));
      return;
    }
    Set<String> joined = new HashSet<>(Sets.union(known.lives(), lives));
    boolean mineCovers = known.isCleared() && known.lives().containsAll(joined);
    boolean theirsCovers = isCleared && lives.containsAll(joined);
    Suspicion after = new Suspicion(Set.copyOf(joined), mineCovers || theirsCovers);
    if (!after.equals(known)) {
      suspicions.put(fingerprint, after);
    }
  }

  /** All suspicions, for daemons that missed some. */
  public synchronized List<CrashNotice> notices() {
    return suspicions.asMap().entrySet().stream()
        .map(
            item ->
                new CrashNotice(
                    item.getKey(), item.getValue().lives(), item.getValue().isCleared()))
        .toList();
  }
}
