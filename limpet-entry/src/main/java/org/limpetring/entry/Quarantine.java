package org.limpetring.entry;

import java.util.List;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.balancing.Endpoint;
import org.limpetring.entry.poison.CrashEvidence;
import org.limpetring.entry.poison.PoisonDetector;

/**
 * Quarantine of what crashes upstreams: feeds {@link PoisonDetector}, logs its findings, and tells
 * when peers must hear of them at once.
 */
final class Quarantine {

  private final PoisonDetector detector = new PoisonDetector();
  private final Clock clock;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private boolean hasNews;

  Quarantine(Clock clock, DecisionLog log, EntryMetrics metrics) {
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** The connection broke before the response to a request began. */
  void onInterrupted(Endpoint from, List<String> traits) {
    detector.onInterrupted(from.upstream().incarnation(), traits, clock.nowMs());
    hasNews = true;
    review();
  }

  /** The response to a request began. */
  void onAnswering(List<String> traits) {
    detector.onAnswering(traits, clock.nowMs());
    review();
  }

  /** The upstream's process was found to have ended. */
  void onUpstreamLost(String incarnation) {
    hasNews = detector.onUpstreamLost(incarnation, clock.nowMs()) || hasNews;
    review();
  }

  /**
   * Applies a peer's evidence.
   *
   * @param isRelay whether this daemon passes evidence on to all others
   */
  void merge(CrashEvidence evidence, boolean isRelay) {
    boolean isNew = detector.merge(evidence, clock.nowMs());
    hasNews = hasNews || (isRelay && isNew);
    review();
  }

  private void review() {
    long nowMs = clock.nowMs();
    for (PoisonDetector.Finding finding : detector.review(nowMs)) {
      hasNews = true;
      if (finding.isQuarantined()) {
        log.write(
            LogEvent.TRAIT_QUARANTINED, "trait", finding.trait(), "crashes", finding.crashes());
      } else {
        log.write(LogEvent.TRAIT_RELEASED, "trait", finding.trait());
      }
    }
    metrics.quarantined(detector.quarantinedCount(nowMs));
  }

  /** Remaining quarantine of a request with these traits; 0 if it may be sent. */
  long leftMs(List<String> traits) {
    return detector.quarantineLeftMs(traits, clock.nowMs());
  }

  /** Whether no request needs to be checked. */
  boolean isEmpty() {
    return detector.isQuarantineEmpty();
  }

  /** Whether an interrupted request with these traits may be sent again. */
  boolean mayRetry(List<String> traits) {
    return detector.mayRetry(traits);
  }

  /** Evidence to announce; see {@link PoisonDetector#evidence}. */
  CrashEvidence evidence(boolean isRelay) {
    return detector.evidence(isRelay, clock.nowMs());
  }

  /** Whether evidence has come up since the last call that peers must hear of at once. */
  boolean takeNews() {
    boolean had = hasNews;
    hasNews = false;
    return had;
  }

  /** Discards outdated evidence. */
  void sweep() {
    detector.expire(clock.nowMs());
    review();
  }
}
