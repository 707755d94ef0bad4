package org.limpetring.entry.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides where a request runs, or whether it waits or is refused.
 *
 * <p>Load pattern: demand exceeds the capacity of complete groups, for seconds or for the whole
 * day. A request goes to the endpoint with the earliest expected first event. Without a free slot
 * it is queued only while its first event can still be on time; a late request would occupy a slot
 * while others could still be served on time, so it is refused with the expected time until a slot
 * frees up as its retry delay. A request that the caller retries after a refusal is late already
 * and may wait longer, but not while new requests are refused: they would go first until its time
 * is over. While all endpoints pause at their own request, it waits only if it is still on time at
 * the end of the first pause. An endpoint whose upstream limits the rate of requests counts with
 * this daemon's share of that rate, however many of its slots are free; where nothing else is left
 * and the share comes too late, the request is refused at once.
 *
 * <p>Where several daemons send to the same endpoints, each has a slightly outdated view of the
 * others' requests, and all of them would choose the endpoint that looked best in that view. So
 * each compares only a random sample of endpoints, which shrinks as daemons are added
 * (Mitzenmacher, "How useful is old information?", 2000).
 */
public final class Admission {

  /** Smallest sample; a second choice already avoids most full endpoints. */
  private static final int MIN_SAMPLE_SIZE = 2;

  /** Up to this many daemons, each compares all endpoints. */
  private static final int SMALL_FLEET_DAEMONS = 8;

  /** Part of its total time that a retried request may wait for a slot. */
  private static final double RETRY_WAIT_FRACTION = 0.5;

  /** Lower bound of the retry delay that callers are given. */
  private static final long MIN_RETRY_AFTER_MS = 100;

  /** Upper bound of the retry delay; broken groups serve again within about this time. */
  private static final long MAX_RETRY_AFTER_MS = 1_500;

  /** Retry delay while no endpoint serves. */
  private static final long NO_ENDPOINT_RETRY_MS = 1_000;

  private Admission() {}

  /**
   * Input of an admission decision besides the request.
   *
   * @param endpoints endpoints that may run the request
   * @param ahead queued requests that go first
   * @param isRefusingNew whether new requests were lately refused for want of a slot
   * @param daemons daemons that send to the same endpoints
   * @param share this daemon's part of the fleet's demand, from 0 to 1
   * @param extraMs added to the time of an endpoint's first event, such as the network delay
   * @param random source for the sample of endpoints
   */
  public record AdmissionContext(
      List<Endpoint> endpoints,
      int ahead,
      boolean isRefusingNew,
      int daemons,
      double share,
      ToDoubleFunction<Endpoint> extraMs,
      RandomGenerator random) {}

  /** Decides on one request. */
  public static Verdict decide(Demand demand, AdmissionContext context, long nowMs) {
    List<Endpoint> endpoints = context.endpoints();
    boolean isLate = isLate(demand, endpoints, nowMs);
    if (context.ahead() == 0 && (!isLate || hasSpareRoom(context, nowMs))) {
      Endpoint best = selectBest(demand, context, nowMs);
      if (best != null) {
        return new Verdict.Send(best);
      }
    }
    if (endpoints.isEmpty()) {
      return new Verdict.Refuse(NO_ENDPOINT_RETRY_MS, "no endpoint serves");
    }
    long pauseMs = shortestPauseMs(endpoints, nowMs);
    if (pauseMs > 0) {
      return demand.isOnTimeAt(nowMs + pauseMs)
          ? new Verdict.Wait(demand.onTimeDeadlineMs())
          : new Verdict.Refuse(pauseMs, "all upstreams pause");
    }
    double rateWaitMs = rateWaitMs(endpoints, context.ahead(), nowMs);
    double slotWaitMs = expectedWaitMs(endpoints, context.ahead(), context.share(), nowMs);
    double waitMs = Math.min(rateWaitMs, slotWaitMs);
    long retryAfterMs = clampRetryAfter(waitMs);
    if (isLate) {
      long untilMs =
          demand.arrivedMs()
              + (long) ((demand.abandonAtMs() - demand.arrivedMs()) * RETRY_WAIT_FRACTION);
      boolean mayWait =
          demand.isCallerRetry() && !context.isRefusingNew() && nowMs + waitMs <= untilMs;
      return mayWait
          ? new Verdict.Wait(untilMs)
          : new Verdict.Refuse(retryAfterMs, "no slot before deadline");
    }
    double firstEventMs = safeFirstEventMs(demand, endpoints, nowMs);
    // a slot that frees up while nothing waits stays idle until the next request arrives
    boolean isFirst = context.ahead() == 0 && !Double.isInfinite(slotWaitMs);
    return demand.isOnTimeAt(nowMs + (isFirst ? 0 : waitMs) + firstEventMs)
        ? new Verdict.Wait(demand.onTimeDeadlineMs())
        : new Verdict.Refuse(
            retryAfterMs,
            Double.isInfinite(slotWaitMs) ? "all upstreams limit" : "no slot on time");
  }

  /**
   * Whether the first event can't be on time any more. A request that has just arrived is never
   * late: where not even an idle group meets its objective, nothing is gained by refusing it.
   */
  private static boolean isLate(Demand demand, List<Endpoint> endpoints, long nowMs) {
    if (demand.isCallerRetry()) {
      return true;
    }
    double allowedMs = demand.onTimeDeadlineMs() - (double) demand.arrivedMs();
    double neededMs = Math.min(allowedMs, safeFirstEventMs(demand, endpoints, nowMs));
    return !demand.isOnTimeAt(nowMs + neededMs);
  }

  /** Time to the first event, nearly certainly, at the best of the endpoints once it has a slot. */
  private static double safeFirstEventMs(Demand demand, List<Endpoint> endpoints, long nowMs) {
    double bestMs = endpoints.isEmpty() ? 0 : Double.MAX_VALUE;
    for (Endpoint endpoint : endpoints) {
      bestMs = Math.min(bestMs, endpoint.safeFirstEventMs(demand.promptTokens(), nowMs));
    }
    return bestMs;
  }

  /**
   * Whether this daemon has more slots free than the requests that can still be on time are likely
   * to take: the number of requests in progress varies by about the root of its mean.
   */
  private static boolean hasSpareRoom(AdmissionContext context, long nowMs) {
    int free = 0;
    int slots = 0;
    for (Endpoint endpoint : context.endpoints()) {
      if (endpoint.isUsable(nowMs)) {
        slots += endpoint.slots();
        free += endpoint.isWithinRate(nowMs) ? endpoint.freeSlots() : 0;
      }
    }
    double likely = Math.sqrt(context.share() * slots);
    return free > (context.isRefusingNew() ? 1 + 3 * likely : likely);
  }

  /** Time until the first of the endpoints takes requests again; 0 if any takes them now. */
  private static long shortestPauseMs(List<Endpoint> endpoints, long nowMs) {
    long shortestMs = Long.MAX_VALUE;
    for (Endpoint endpoint : endpoints) {
      shortestMs = Math.min(shortestMs, endpoint.pauseLeftMs(nowMs));
    }
    return shortestMs;
  }

  /** Returns the free endpoint with the earliest first event in the random sample, or null. */
  private static @Nullable Endpoint selectBest(
      Demand demand, AdmissionContext context, long nowMs) {
    List<Endpoint> free = new ArrayList<>(context.endpoints().size());
    for (Endpoint endpoint : context.endpoints()) {
      if (endpoint.isUsable(nowMs) && endpoint.isWithinRate(nowMs) && endpoint.hasFreeSlot(nowMs)) {
        free.add(endpoint);
      }
    }
    keepSample(free, sampleSize(free.size(), context.daemons()), context.random());
    Endpoint best = null;
    double bestMs = Double.MAX_VALUE;
    for (Endpoint endpoint : free) {
      double ms = scoreMs(endpoint, demand, context, nowMs);
      if (ms < bestMs) {
        bestMs = ms;
        best = endpoint;
      }
    }
    return best;
  }

  private static int sampleSize(int endpoints, int daemons) {
    return Math.max(MIN_SAMPLE_SIZE, endpoints * SMALL_FLEET_DAEMONS / Math.max(1, daemons));
  }

  /** Reduces the list to a random sample of {@code count} endpoints. */
  private static void keepSample(List<Endpoint> endpoints, int count, RandomGenerator random) {
    for (int i = 0; i < count && endpoints.size() > count; i++) {
      int chosen = i + random.nextInt(endpoints.size() - i);
      Endpoint displaced = endpoints.get(i);
      endpoints.set(i, endpoints.get(chosen));
      endpoints.set(chosen, displaced);
    }
    while (endpoints.size() > count) {
      endpoints.remove(endpoints.size() - 1);
    }
  }

  private static double scoreMs(
      Endpoint endpoint, Demand demand, AdmissionContext context, long nowMs) {
    double extraMs = context.extraMs().applyAsDouble(endpoint);
    if (endpoint.model() == null) {
      return endpoint.inFlight() / (double) endpoint.slots() + extraMs / 1_000;
    }
    // concurrent streams slow each other down, so the less loaded of two equal endpoints wins
    return endpoint.firstEventMs(demand.promptTokens(), nowMs) + extraMs + endpoint.inFlight();
  }

  /** Returns the requests per ms that this daemon's share of the usable slots completes. */
  public static double capacityPerMs(List<Endpoint> endpoints, double share, long nowMs) {
    double freedPerMs = 0;
    for (Endpoint endpoint : endpoints) {
      if (endpoint.isUsable(nowMs) && endpoint.model() != null) {
        freedPerMs += endpoint.slots() / Math.max(1, endpoint.runMs(nowMs));
      }
    }
    return share * freedPerMs;
  }

  /**
   * Expected time until a slot frees up for a request behind {@code ahead} others of this daemon;
   * infinite if all endpoints limit the rate of requests.
   */
  private static double expectedWaitMs(
      List<Endpoint> endpoints, int ahead, double share, long nowMs) {
    double freedPerMs = 0;
    int free = 0;
    boolean areAllLimited = true;
    for (Endpoint endpoint : endpoints) {
      if (endpoint.isRateLimited()) {
        continue;
      }
      areAllLimited = false;
      if (endpoint.isUsable(nowMs) && endpoint.model() != null) {
        freedPerMs += endpoint.slots() / Math.max(1, endpoint.runMs(nowMs));
        free += Math.max(0, endpoint.slots() - endpoint.inFlight());
      }
    }
    if (areAllLimited) {
      return Double.POSITIVE_INFINITY;
    }
    if (freedPerMs == 0) {
      return NO_ENDPOINT_RETRY_MS;
    }
    // free slots are shared out with the next announcement, freed ones as they come
    double behind = Math.max(0, ahead + 1 - share * free);
    return behind / (share * freedPerMs) / 2;
  }

  /**
   * Expected time until the limited rates leave room for a request behind {@code ahead} others of
   * this daemon; infinite if no endpoint limits its rate.
   */
  private static double rateWaitMs(List<Endpoint> endpoints, int ahead, long nowMs) {
    double firstMs = Double.POSITIVE_INFINITY;
    double ratePerMs = 0;
    for (Endpoint endpoint : endpoints) {
      if (endpoint.isRateLimited() && endpoint.isUsable(nowMs)) {
        firstMs = Math.min(firstMs, endpoint.rateWaitMs(nowMs));
        ratePerMs += endpoint.ownRatePerMs();
      }
    }
    return ahead == 0 ? firstMs : firstMs + ahead / ratePerMs;
  }

  private static long clampRetryAfter(double waitMs) {
    return (long) Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  }
}
