package org.limpetring.entry;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.balancing.Endpoint;
import org.limpetring.entry.balancing.LimitStatement;
import org.limpetring.entry.balancing.SharedRateLimiter;
import org.limpetring.entry.balancing.UpstreamLimits;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.peer.PeerRegistry;
import org.limpetring.entry.port.RateLimit;

/**
 * Upstreams that take only so many requests from all daemons together: feeds {@link
 * UpstreamLimits}, logs what it finds, and tells when peers must hear of it at once. Event loop
 * only.
 */
final class LimitedUpstreams {

  /** Time after which the share of an upstream that got no requests is discarded. */
  private static final long SHARE_TTL_MS = 60_000;

  private final SharedRateLimiter limiter;
  private final UpstreamLimits limits;
  private final PeerRegistry peers;
  private final Clock clock;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private boolean hasNews;
  private boolean hasSeenLimit;

  LimitedUpstreams(
      String ownName, PeerRegistry peers, Clock clock, DecisionLog log, EntryMetrics metrics) {
    this.limiter = new SharedRateLimiter(ownName);
    this.limits = new UpstreamLimits(limiter);
    this.peers = peers;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * An upstream answered a request that was sent at {@code sentMs}; returns whether a limit ended.
   */
  boolean onAnswer(Upstream from, RateLimit limit, long sentMs) {
    if (limit instanceof RateLimit.Malformed malformed) {
      log.write(
          LogEvent.LIMIT_MALFORMED, "upstream", from.incarnation(), "value", malformed.value());
      metrics.limitStatement("malformed");
      return false;
    }
    UpstreamLimits.Change change =
        limits.onAnswer(from.incarnation(), limit, sentMs, clock.nowMs());
    hasNews = hasNews || change != UpstreamLimits.Change.NONE;
    report(change, from.incarnation(), "answer");
    return change == UpstreamLimits.Change.ENDED;
  }

  /**
   * Applies a peer's statements; returns whether a limit ended.
   *
   * @param isRelay whether this daemon passes statements on to all others
   */
  boolean merge(List<LimitStatement> statements, boolean isRelay) {
    boolean hasEnded = false;
    for (LimitStatement statement : statements) {
      UpstreamLimits.Change change = limits.merge(statement, clock.nowMs());
      hasNews = hasNews || (isRelay && change != UpstreamLimits.Change.NONE);
      hasEnded = hasEnded || change == UpstreamLimits.Change.ENDED;
      report(change, statement.incarnation(), "peer");
    }
    return hasEnded;
  }

  private void report(UpstreamLimits.Change change, String incarnation, String source) {
    switch (change) {
      case NONE -> {
        return;
      }
      case NAMED, CHANGED ->
          log.write(
              LogEvent.UPSTREAM_LIMITED,
              "upstream",
              incarnation,
              "perSecond",
              limits.requestsPerSecond(incarnation),
              "by",
              source);
      case ENDED -> log.write(LogEvent.UPSTREAM_UNLIMITED, "upstream", incarnation, "by", source);
    }
    hasSeenLimit = true;
    metrics.limitStatement(change.name().toLowerCase(Locale.ROOT));
    metrics.limitedUpstreams(limits.size());
  }

  /**
   * Sets on each endpoint the share of its upstream's limit that this daemon has.
   *
   * @param coldRate rate of an endpoint's upstream while it is cold; infinite if it is warm
   */
  void applyTo(List<Endpoint> endpoints, ToDoubleFunction<Endpoint> coldRate) {
    if (!hasSeenLimit) {
      return;
    }
    long nowMs = clock.nowMs();
    for (Endpoint endpoint : endpoints) {
      String incarnation = endpoint.upstream().incarnation();
      if (limits.isLimited(incarnation)) {
        double cold = coldRate.applyAsDouble(endpoint);
        endpoint.limitRate(
            limits.ownRatePerMs(incarnation, cold, peers.knownNames(), nowMs),
            limits.nextSendMs(incarnation, cold, peers.knownNames(), nowMs));
      } else {
        endpoint.unlimitRate();
      }
    }
  }

  /**
   * Takes the right to send one request to an upstream; returns false if this daemon has none.
   *
   * @param coldRate rate of the upstream while it is cold; infinite if it is warm
   */
  boolean tryAcquire(Upstream upstream, double coldRate) {
    return limits.tryAcquire(upstream.incarnation(), coldRate, peers.knownNames(), clock.nowMs());
  }

  /** Statements to announce; see {@link UpstreamLimits#announced}. */
  List<LimitStatement> announced(boolean isRelay) {
    return limits.announced(isRelay, clock.nowMs());
  }

  /** Whether a limit has changed since the last call, so that peers must hear of it at once. */
  boolean takeNews() {
    boolean had = hasNews;
    hasNews = false;
    return had;
  }

  /** Discards outdated shares, and statements on incarnations that are not in {@code listed}. */
  void sweep(Set<String> listed) {
    limiter.forgetBefore(clock.nowMs() - SHARE_TTL_MS);
    limits.sweep(listed, clock.nowMs());
    metrics.limitedUpstreams(limits.size());
  }
}
