package org.limpetring.entry.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.limpetring.entry.port.RateLimit;

/**
 * Keeps the rates of requests that upstreams named in their answers, and decides when this daemon
 * may send the next request to such an upstream.
 *
 * <p>Load pattern: some heads of a pool name a limit far below what they get, and most daemons have
 * never had an answer from them, have just started, or are cut off from the others. The newest
 * statement counts, whichever daemon it was made to. A limit is as new as the arrival of the answer
 * that names it; its end is only as new as the request whose answer names none, since an answer
 * that was written before the limit was named may arrive after it. A limit belongs to an
 * incarnation of the upstream, not to the group that it heads.
 *
 * <p>The rate is shared between a few senders by {@link SharedRateLimiter}. A limit of 0, or one
 * whose senders are all gone, would never be heard of again, so a daemon may send one request after
 * a long silence of the upstream. The time depends on the daemon's rank, so that one sends and the
 * others hear of the answer.
 */
public final class UpstreamLimits {

  /** Effect of a statement. */
  public enum Change {
    NONE,
    NAMED,
    CHANGED,
    ENDED
  }

  /** Silence of a limited upstream after which the daemon of rank 0 may send one request. */
  static final long TRIAL_SILENCE_MS = 10_000;

  /** Further silence for each rank. */
  static final long TRIAL_STEP_MS = 4_000;

  /** Statements in one announcement; with more, each announcement carries the next ones. */
  static final int MAX_ANNOUNCED = 64;

  /** Age above which a statement is not passed on. */
  private static final long MAX_ANNOUNCED_AGE_MS = 60_000;

  /** Age above which statements on upstreams that are no longer listed, or on ends, are dropped. */
  private static final long RETENTION_MS = 120_000;

  /** A repeated statement must be newer by this; relays add some ms to its time. */
  private static final long REPEAT_MS = 200;

  private static final class Known {
    double requestsPerSecond;
    long statedMs;
    long trialMs = Long.MIN_VALUE / 2;
    boolean isOwn;

    boolean isLimited() {
      return requestsPerSecond != LimitStatement.ENDED;
    }
  }

  private final SharedRateLimiter limiter;
  private final Map<String, Known> statements = new LinkedHashMap<>();
  private int limitedCount;

  /** Creates an empty state; {@code limiter} holds this daemon's shares. */
  public UpstreamLimits(SharedRateLimiter limiter) {
    this.limiter = limiter;
  }

  /** Number of upstreams with a limit. */
  public int size() {
    return limitedCount;
  }

  /** Whether an upstream has named a limit. */
  public boolean isLimited(String incarnation) {
    Known known = statements.get(incarnation);
    return known != null && known.isLimited();
  }

  /** Returns the rate that an upstream takes; {@link LimitStatement#ENDED} if it names none. */
  public double requestsPerSecond(String incarnation) {
    Known known = statements.get(incarnation);
    return known == null ? LimitStatement.ENDED : known.requestsPerSecond;
  }

  /**
   * Applies an answer of an upstream to this daemon.
   *
   * @param sentMs when the request was sent that it answers
   */
  public Change onAnswer(String incarnation, RateLimit limit, long sentMs, long nowMs) {
    if (limit instanceof RateLimit.Of named) {
      return state(incarnation, named.requestsPerSecond(), nowMs, true);
    }
    Known known = statements.get(incarnation);
    boolean isEnd = limit instanceof RateLimit.None && known != null && sentMs > known.statedMs;
    return isEnd ? state(incarnation, LimitStatement.ENDED, sentMs, true) : Change.NONE;
  }

  /** Applies a statement that another daemon passed on. */
  public Change merge(LimitStatement statement, long nowMs) {
    long statedMs = nowMs - statement.ageMs();
    Known known = statements.get(statement.incarnation());
    boolean isRepeated = known != null && known.requestsPerSecond == statement.requestsPerSecond();
    boolean isNews = known == null || statedMs > known.statedMs + (isRepeated ? REPEAT_MS : 0);
    return isNews
        ? state(statement.incarnation(), statement.requestsPerSecond(), statedMs, false)
        : Change.NONE;
  }

  private Change state(String incarnation, double requestsPerSecond, long statedMs, boolean isOwn) {
    Known known = statements.computeIfAbsent(incarnation, key -> ended());
    boolean wasLimited = known.isLimited();
    boolean isSame = known.requestsPerSecond == requestsPerSecond;
    known.requestsPerSecond = requestsPerSecond;
    known.statedMs = statedMs;
    known.isOwn = isOwn;
    if (isSame) {
      return Change.NONE;
    }
    if (!known.isLimited()) {
      limitedCount--;
      return Change.ENDED;
    }
    limitedCount += wasLimited ? 0 : 1;
    return wasLimited ? Change.CHANGED : Change.NAMED;
  }

  private static Known ended() {
    Known known = new Known();
    known.requestsPerSecond = LimitStatement.ENDED;
    return known;
  }

  /**
   * Statements to announce: this daemon's own ones, or all of them if it relays.
   *
   * @param isRelay whether this daemon passes on what others told it
   */
  public List<LimitStatement> announced(boolean isRelay, long nowMs) {
    List<LimitStatement> announced = new ArrayList<>();
    for (Map.Entry<String, Known> entry : List.copyOf(statements.entrySet())) {
      Known known = entry.getValue();
      long ageMs = Math.max(0, nowMs - known.statedMs);
      if ((!isRelay && !known.isOwn) || ageMs > MAX_ANNOUNCED_AGE_MS) {
        continue;
      }
      if (announced.size() == MAX_ANNOUNCED) {
        break;
      }
      announced.add(new LimitStatement(entry.getKey(), known.requestsPerSecond, ageMs));
      // to the end of the order, so that the next announcement begins with the others
      statements.remove(entry.getKey());
      statements.put(entry.getKey(), known);
    }
    return announced;
  }

  /**
   * Returns when this daemon may send the next request to an upstream with a limit.
   *
   * @param coldRequestsPerSecond rate of the upstream while it is cold; infinite if it is warm
   */
  public long nextSendMs(
      String incarnation, double coldRequestsPerSecond, Collection<String> daemons, long nowMs) {
    Known known = statements.get(incarnation);
    if (known == null || !known.isLimited()) {
      return nowMs;
    }
    SharedRate rate = rate(known, coldRequestsPerSecond);
    long shareMs = limiter.nextSendMs(incarnation, rate, daemons, nowMs);
    return Math.min(shareMs, Math.max(nowMs, trialMs(incarnation, known, rate, daemons, nowMs)));
  }

  /** Returns this daemon's share of the rate of an upstream with a limit, in requests per ms. */
  public double ownRatePerMs(
      String incarnation, double coldRequestsPerSecond, Collection<String> daemons, long nowMs) {
    Known known = statements.get(incarnation);
    return known == null || !known.isLimited()
        ? Double.POSITIVE_INFINITY
        : limiter.ownRatePerMs(incarnation, rate(known, coldRequestsPerSecond), daemons, nowMs);
  }

  /** Takes the right to send one request to an upstream; returns false if this daemon has none. */
  public boolean tryAcquire(
      String incarnation, double coldRequestsPerSecond, Collection<String> daemons, long nowMs) {
    Known known = statements.get(incarnation);
    if (known == null || !known.isLimited()) {
      return Double.isInfinite(coldRequestsPerSecond)
          || limiter.tryAcquire(
              incarnation, SharedRate.ofColdUpstream(coldRequestsPerSecond), daemons, nowMs);
    }
    SharedRate rate = rate(known, coldRequestsPerSecond);
    if (limiter.tryAcquire(incarnation, rate, daemons, nowMs)) {
      return true;
    }
    if (nowMs < trialMs(incarnation, known, rate, daemons, nowMs)) {
      return false;
    }
    known.trialMs = nowMs;
    return true;
  }

  private static SharedRate rate(Known known, double coldRequestsPerSecond) {
    SharedRate named = SharedRate.ofNamedLimit(known.requestsPerSecond);
    return Double.isInfinite(coldRequestsPerSecond)
        ? named
        : named.lower(SharedRate.ofColdUpstream(coldRequestsPerSecond));
  }

  private long trialMs(
      String incarnation, Known known, SharedRate rate, Collection<String> daemons, long nowMs) {
    int rank = limiter.rank(incarnation, rate, daemons, nowMs);
    return Math.max(known.statedMs, known.trialMs) + TRIAL_SILENCE_MS + rank * TRIAL_STEP_MS;
  }

  /** Drops old statements on upstreams without a limit or that are not in {@code listed}. */
  public void sweep(Collection<String> listed, long nowMs) {
    Iterator<Map.Entry<String, Known>> entries = statements.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Known> entry = entries.next();
      Known known = entry.getValue();
      boolean isOld = nowMs - known.statedMs > RETENTION_MS;
      if (isOld && !(known.isLimited() && listed.contains(entry.getKey()))) {
        limitedCount -= known.isLimited() ? 1 : 0;
        entries.remove();
      }
    }
  }
}
