package org.limpetring.entry.balancing;

import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * Decides how many requests this daemon may have in progress at each endpoint of a pool.
 *
 * <p>Load pattern: many daemons send to the same few heads, and the load that each knows of the
 * others is some hundred milliseconds old. A slot that looks free to all of them is taken several
 * times; the surplus queues inside the engine, where no daemon can refuse it in time, and runs for
 * callers that have left. It is worst when half of the capacity is lost or when all daemons restart
 * at once and know no load at all.
 *
 * <p>So a daemon keeps the slots that it announced as in use and takes only its share of those that
 * the announced total leaves free. The limits of all daemons add up to the slots, however old the
 * total is. Fractions are rounded at random, which also spreads the daemons over the endpoints.
 * Only while the known demand leaves slots free do the limits exceed them: a share of two or three
 * slots is too small for the uneven arrivals at one of hundreds of daemons.
 */
public final class SlotShares {

  /** Load of a pool above which a daemon that holds more than its share gives slots back. */
  private static final double PRESSURE = 0.9;

  /** Multiple of its share that a daemon may hold under pressure. */
  private static final double MAX_HELD = 1.5;

  /** Part of a pool's slots above which requests are likely to find none. */
  private static final double FULL = 0.85;

  /**
   * Slots in reserve as a multiple of the root of a daemon's share; its load varies by the root.
   */
  private static final double RESERVE = 1.5;

  private SlotShares() {}

  /** Sets the limits after a new announcement of the fleet's load, with unknown demand. */
  public static void apply(
      List<Endpoint> pool,
      ToIntFunction<Endpoint> announced,
      double share,
      RandomGenerator random) {
    apply(pool, announced, share, Double.POSITIVE_INFINITY, random);
  }

  /**
   * Sets the limits after a new announcement of the fleet's load.
   *
   * @param pool endpoints that serve the same requests, with the other daemons' load applied
   * @param announced the requests in progress at an endpoint that this daemon announced last
   * @param share this daemon's part of the fleet's demand, from 0 to 1
   * @param arrivals requests expected in the whole fleet until the next announcement
   */
  public static void apply(
      List<Endpoint> pool,
      ToIntFunction<Endpoint> announced,
      double share,
      double arrivals,
      RandomGenerator random) {
    boolean mustYield = mustYield(pool, share);
    double portion = portion(pool, announced, share, arrivals);
    for (Endpoint endpoint : pool) {
      if (endpoint.model() == null) {
        // requests of plain upstreams end sooner than the next announcement arrives
        continue;
      }
      int limit = limit(endpoint, announced.applyAsInt(endpoint), portion, random);
      endpoint.setOwnLimit(mustYield ? Math.min(limit, endpoint.ownInFlight()) : limit);
    }
  }

  /** Sets the limit of an endpoint that has just been added and has no load. */
  public static void applyToNew(Endpoint endpoint, double share, RandomGenerator random) {
    if (endpoint.model() != null) {
      endpoint.setOwnLimit(limit(endpoint, 0, share, random));
    }
  }

  /**
   * Part of the free slots that this daemon may take. While far more are free than are likely to be
   * taken before the next announcement, a daemon with a share of a few slots gets some in reserve,
   * since its own requests arrive unevenly.
   */
  private static double portion(
      List<Endpoint> pool, ToIntFunction<Endpoint> announced, double share, double arrivals) {
    int slots = 0;
    int free = 0;
    for (Endpoint endpoint : pool) {
      int taken = announced.applyAsInt(endpoint) + endpoint.peerInFlight();
      slots += endpoint.slots();
      free += Math.max(0, endpoint.slots() - taken);
    }
    double own = share * free;
    boolean isAmple = free > (1 - FULL) * slots && free > arrivals;
    return isAmple && own > 0 ? Math.min(1, share * (1 + RESERVE / Math.sqrt(own))) : share;
  }

  /** Whether so much of a pool is taken that requests are likely to find no slot. */
  public static boolean isFull(List<Endpoint> pool) {
    int slots = 0;
    int all = 0;
    for (Endpoint endpoint : pool) {
      slots += endpoint.slots();
      all += endpoint.inFlight();
    }
    return all > FULL * slots;
  }

  private static int limit(Endpoint endpoint, int announced, double share, RandomGenerator random) {
    int taken = announced + endpoint.peerInFlight();
    if (taken > endpoint.slots()) {
      // slots that are held but not in use would otherwise stay idle at all daemons
      return roundAtRandom((double) announced * endpoint.slots() / taken, random);
    }
    int free = endpoint.slots() - taken;
    return announced + roundAtRandom(share * free, random);
  }

  /** Whether this daemon holds so much of a full pool that others are kept out. */
  private static boolean mustYield(List<Endpoint> pool, double share) {
    int slots = 0;
    int own = 0;
    int all = 0;
    for (Endpoint endpoint : pool) {
      if (endpoint.isRateLimited()) {
        continue;
      }
      slots += endpoint.slots();
      own += endpoint.ownInFlight();
      all += endpoint.inFlight();
    }
    return all > PRESSURE * slots && own > 1 + MAX_HELD * share * slots;
  }

  private static int roundAtRandom(double value, RandomGenerator random) {
    int whole = (int) value;
    return random.nextDouble() < value - whole ? whole + 1 : whole;
  }
}
