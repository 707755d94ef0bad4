package org.limpetring.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.balancing.Endpoint;
import org.limpetring.entry.balancing.PaceStatement;
import org.limpetring.entry.balancing.UpstreamPace;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.peer.PeerRegistry;

/**
 * Upstreams that have just started or recovered: feeds {@link UpstreamPace}, logs what it finds,
 * and tells when peers must hear of it at once. Event loop only.
 */
final class UpstreamPaces {

  /** Silence of all peers after which this daemon no longer shares levels with them. */
  private static final long CUT_OFF_MS = 5_000;

  /** Traffic for this long shows that endpoints which appear now have just started. */
  private static final long TRAFFIC_BEFORE_MS = 1_000;

  /** Endpoints of a pool that appear at once as its majority when a list was outdated. */
  private static final int MIN_RELISTED = 3;

  /** Shorter suspicions end by data that was only delayed. */
  private static final long MIN_SUSPICION_MS = 300;

  private final String ownName;
  private final UpstreamPace pace;
  private final PeerRegistry peers;
  private final Clock clock;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final Map<String, Long> suspectedSinceMs = new HashMap<>();
  private final Set<String> disturbed = new HashSet<>();
  private long firstRequestMs = Long.MAX_VALUE;
  private boolean hasListed;
  private boolean hasNews;
  private Collection<String> sharingNames;

  UpstreamPaces(
      String ownName, PeerRegistry peers, Clock clock, DecisionLog log, EntryMetrics metrics) {
    this.ownName = ownName;
    this.pace = new UpstreamPace(ownName);
    this.peers = peers;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.sharingNames = new TreeSet<>(Set.of(ownName));
  }

  private void note(UpstreamPace.Change change, String endpointKey, String cause) {
    if (change == UpstreamPace.Change.NONE) {
      return;
    }
    hasNews = true;
    metrics.paceChange(change.name().toLowerCase(Locale.ROOT));
    metrics.pacedUpstreams(pace.size());
    switch (change) {
      case BEGUN ->
          log.write(
              LogEvent.UPSTREAM_PACED,
              "place",
              endpointKey,
              "level",
              pace.level(endpointKey),
              "cause",
              cause);
      case LOWERED ->
          log.write(
              LogEvent.PACE_LOWERED,
              "place",
              endpointKey,
              "level",
              pace.level(endpointKey),
              "cause",
              cause);
      case ENDED -> log.write(LogEvent.UPSTREAM_UNPACED, "place", endpointKey, "cause", cause);
      default -> {}
    }
  }

  /** A caller's request arrived. */
  void onRequest() {
    firstRequestMs = Math.min(firstRequestMs, clock.nowMs());
  }

  /**
   * Endpoints were added to the index. The ones of the first listing are not paced, nor those that
   * appear before there is traffic, nor most of a pool at once: this daemon's list was outdated, or
   * no other endpoints could serve meanwhile.
   */
  void onAdded(List<Endpoint> added, Iterable<List<Endpoint>> pools) {
    boolean isFirst = !hasListed;
    hasListed = hasListed || !added.isEmpty();
    long nowMs = clock.nowMs();
    if (isFirst || nowMs - TRAFFIC_BEFORE_MS < firstRequestMs) {
      return;
    }
    Set<Endpoint> started = new HashSet<>(added);
    for (List<Endpoint> pool : pools) {
      long count = pool.stream().filter(started::contains).count();
      if (count >= MIN_RELISTED && 2 * count > pool.size()) {
        pool.forEach(started::remove);
      }
    }
    for (Endpoint endpoint : started) {
      note(pace.onStarted(endpoint.key(), endpoint.slots(), nowMs), endpoint.key(), "started");
    }
  }

  /** Paces endpoints whose ejection or suspicion has begun, for the time when it ends. */
  void tick(Iterable<Endpoint> endpoints) {
    long nowMs = clock.nowMs();
    // names are only ever added, so those of a daemon that is cut off stay known
    boolean isAlone = peers.recentPeerNames(CUT_OFF_MS, nowMs).isEmpty();
    sharingNames = isAlone ? Set.of(ownName) : peers.knownNames();
    for (Endpoint endpoint : endpoints) {
      String key = endpoint.key();
      if (!endpoint.isSuspected(nowMs)) {
        suspectedSinceMs.remove(key);
      }
      boolean isSuspected =
          endpoint.isSuspected(nowMs)
              && nowMs - suspectedSinceMs.computeIfAbsent(key, each -> nowMs) >= MIN_SUSPICION_MS;
      if (!isSuspected && !endpoint.isEjected(nowMs)) {
        disturbed.remove(key);
      } else if (disturbed.add(key)) {
        note(
            pace.onDisturbed(key, endpoint.slots(), nowMs),
            key,
            isSuspected ? "suspected" : "ejected");
      }
    }
  }

  /** The first event of a stream or a whole response arrived; returns whether a level rose. */
  boolean onResponse(
      Endpoint from, long sentMs, double predictedMs, long onTimeDeadlineMs, boolean isCold) {
    long nowMs = clock.nowMs();
    ModelSpec model = from.model();
    UpstreamPace.Change change =
        pace.onResponse(
            from.key(),
            model == null ? from.upstream().service() + '/' : model.name(),
            from.slots(),
            sentMs,
            nowMs - sentMs,
            predictedMs,
            onTimeDeadlineMs - sentMs,
            isCold,
            nowMs);
    note(change, from.key(), "response");
    return change == UpstreamPace.Change.RAISED || change == UpstreamPace.Change.ENDED;
  }

  /** An exchange broke. */
  void onBroken(Endpoint from, long sentMs) {
    note(pace.onTrouble(from.key(), from.slots(), sentMs, clock.nowMs()), from.key(), "broken");
  }

  /** The upstream refused a request unexecuted, which a full one without a level may do. */
  void onRefused(Endpoint from, long sentMs) {
    if (pace.level(from.key()) != PaceStatement.ENDED) {
      note(pace.onTrouble(from.key(), from.slots(), sentMs, clock.nowMs()), from.key(), "refused");
    }
  }

  /** Applies a peer's statements; returns whether a level rose. */
  boolean merge(Iterable<Endpoint> endpoints, List<PaceStatement> statements, boolean isRelay) {
    if (statements.isEmpty()) {
      return false;
    }
    Map<Integer, Endpoint> byHash = new HashMap<>();
    endpoints.forEach(each -> byHash.put(UpstreamPace.hash(each.key()), each));
    boolean hadNews = hasNews;
    boolean hasRisen = false;
    for (PaceStatement statement : statements) {
      Endpoint endpoint = byHash.get(statement.endpointHash());
      if (endpoint != null) {
        UpstreamPace.Change change =
            pace.merge(endpoint.key(), endpoint.slots(), statement, clock.nowMs());
        note(change, endpoint.key(), "peer");
        hasRisen |= change == UpstreamPace.Change.RAISED || change == UpstreamPace.Change.ENDED;
      }
    }
    // only a relay passes on what it heard
    hasNews = hadNews || (isRelay && hasNews);
    return hasRisen;
  }

  /**
   * Sets on each endpoint how many requests of this daemon may wait for a first event there. The
   * cold rate and limits that upstreams name have senders of their own, so they apply alone.
   */
  void applyTo(List<Endpoint> endpoints, Predicate<Endpoint> isCold) {
    if (pace.size() == 0) {
      endpoints.forEach(each -> each.setUnansweredLimit(Integer.MAX_VALUE));
      return;
    }
    long nowMs = clock.nowMs();
    for (Endpoint each : endpoints) {
      int limit =
          each.isRateLimited() || isCold.test(each)
              ? Integer.MAX_VALUE
              : pace.ownLimit(
                  each.key(), each.ownInFlight(), each.peerInFlight(), sharingNames, nowMs);
      each.setUnansweredLimit(limit);
    }
  }

  /** Statements to announce; see {@link UpstreamPace#announced}. */
  List<PaceStatement> announced(boolean isRelay) {
    return pace.announced(isRelay, clock.nowMs());
  }

  /** Whether a level has changed since the last call, so that peers must hear of it at once. */
  boolean takeNews() {
    boolean had = hasNews;
    hasNews = false;
    return had;
  }

  /** Discards endpoints that no longer exist. */
  void sweep(Predicate<String> exists) {
    pace.retain(exists);
    suspectedSinceMs.keySet().removeIf(exists.negate());
    disturbed.removeIf(exists.negate());
    metrics.pacedUpstreams(pace.size());
  }
}
