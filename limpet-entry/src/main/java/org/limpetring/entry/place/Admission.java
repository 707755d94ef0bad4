package org.limpetring.entry.place;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides where a request runs, or whether it waits or is refused.
 *
 * <p>Load pattern: callers want more than whole groups can serve, for seconds or for the whole day.
 * A request goes to the place whose first event is expected soonest. Without a free place it waits
 * only while its first event can still be on time; after that it would hold a place for a late
 * answer while others could still be served on time, so it is refused and told when places are
 * expected. One that was refused before and came back waits longer, since it is late already.
 *
 * <p>Where several daemons send to the same places, each knows the others' requests only as of a
 * moment ago. All of them would choose the place that looked best then, so each compares only some
 * places drawn at random, the fewer the more daemons there are (Mitzenmacher, "How useful is old
 * information?", 2000).
 */
public final class Admission {

  /** Fewest places that are compared; a second one already avoids most full places. */
  private static final int MIN_CHOICES = 2;

  /** A fleet of this many daemons is small enough for each to compare all places. */
  private static final int SMALL_FLEET = 8;

  /** Part of the time left that a request which came back may wait for a place. */
  private static final double RETURNED_WAIT_PART = 0.5;

  /** Shortest pause that callers are asked to keep. */
  private static final long MIN_RETRY_AFTER_MS = 100;

  /** Longest pause; groups that broke serve again within about this time. */
  private static final long MAX_RETRY_AFTER_MS = 1_500;

  /** Expected pause where nothing serves at all. */
  private static final long NOTHING_SERVES_MS = 1_000;

  private Admission() {}

  /**
   * What the decision is made from.
   *
   * @param places places that may run the request
   * @param ahead requests that wait before it
   * @param daemons daemons that send to the same places
   * @param extraMs added to the expected first event of a place, such as the way there
   * @param random draws the places that are compared
   */
  public record AdmissionContext(
      List<Endpoint> places,
      int ahead,
      int daemons,
      ToDoubleFunction<Endpoint> extraMs,
      RandomGenerator random) {}

  /** Decides on one request. */
  public static Verdict decide(Demand demand, AdmissionContext situation, long nowMs) {
    List<Endpoint> places = situation.places();
    if (situation.ahead() == 0) {
      Endpoint best = best(demand, situation, nowMs);
      if (best != null) {
        return new Verdict.Send(best);
      }
    }
    if (places.isEmpty()) {
      return new Verdict.Refuse(NOTHING_SERVES_MS, "nothing serves");
    }
    double waitMs = expectedWaitMs(places, situation.ahead(), situation.daemons(), nowMs);
    long retryAfterMs = clamp(waitMs);
    if (demand.isCallerRetry() || !demand.isOnTimeAt(nowMs)) {
      long untilMs =
          demand.arrivedMs()
              + (long) ((demand.abandonAtMs() - demand.arrivedMs()) * RETURNED_WAIT_PART);
      boolean isHopeless = nowMs + waitMs > untilMs;
      return isHopeless || !demand.isCallerRetry()
          ? new Verdict.Refuse(retryAfterMs, "no place in time")
          : new Verdict.Wait(untilMs);
    }
    double firstEventMs = Double.MAX_VALUE;
    for (Endpoint place : places) {
      firstEventMs = Math.min(firstEventMs, place.firstEventMs(demand.promptTokens(), nowMs));
    }
    boolean canBeOnTime = demand.isOnTimeAt(nowMs + waitMs + firstEventMs / 2);
    return canBeOnTime
        ? new Verdict.Wait(demand.onTimeDeadlineMs())
        : new Verdict.Refuse(retryAfterMs, "no place on time");
  }

  /** The free place with the soonest first event among those compared, or null. */
  private static @Nullable Endpoint best(Demand demand, AdmissionContext situation, long nowMs) {
    List<Endpoint> free = new ArrayList<>(situation.places().size());
    for (Endpoint place : situation.places()) {
      if (place.isUsable(nowMs) && place.hasFreeSlot(nowMs)) {
        free.add(place);
      }
    }
    keepDrawn(free, choices(free.size(), situation.daemons()), situation.random());
    Endpoint best = null;
    double bestMs = Double.MAX_VALUE;
    for (Endpoint place : free) {
      double ms = scoreMs(place, demand, situation, nowMs);
      if (ms < bestMs) {
        bestMs = ms;
        best = place;
      }
    }
    return best;
  }

  private static int choices(int places, int daemons) {
    return Math.max(MIN_CHOICES, places * SMALL_FLEET / Math.max(1, daemons));
  }

  /** Keeps {@code count} places drawn at random. */
  private static void keepDrawn(List<Endpoint> places, int count, RandomGenerator random) {
    for (int i = 0; i < count && places.size() > count; i++) {
      int drawn = i + random.nextInt(places.size() - i);
      Endpoint swapped = places.get(i);
      places.set(i, places.get(drawn));
      places.set(drawn, swapped);
    }
    while (places.size() > count) {
      places.remove(places.size() - 1);
    }
  }

  private static double scoreMs(
      Endpoint place, Demand demand, AdmissionContext situation, long nowMs) {
    double extraMs = situation.extraMs().applyAsDouble(place);
    if (place.model() == null) {
      return place.inFlight() / (double) place.slots() + extraMs / 1_000;
    }
    // streams slow each other down: of two equal places the emptier one
    return place.firstEventMs(demand.promptTokens(), nowMs) + extraMs + place.inFlight();
  }

  /** Time until a place frees up for a request behind {@code ahead} others of this daemon. */
  private static double expectedWaitMs(List<Endpoint> places, int ahead, int daemons, long nowMs) {
    double perMs = 0;
    for (Endpoint place : places) {
      if (place.isUsable(nowMs) && place.model() != null) {
        perMs += place.slots() / Math.max(1, place.runMs(nowMs));
      }
    }
    if (perMs == 0) {
      return NOTHING_SERVES_MS;
    }
    return (ahead + 1) * Math.max(1, daemons) / perMs / 2;
  }

  private static long clamp(double waitMs) {
    return (long) Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  }
}
