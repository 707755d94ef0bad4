package org.limpetring.entry.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests of a team are beyond the team's share of a pool, and which part of a pool
 * this daemon may use for those within.
 *
 * <p>Load pattern: one team sends many times its usual rate while a pool is short of slots. Its
 * connections reach only a few daemons, so no daemon sees the imbalance in its own queue, and the
 * daemons that it reaches take a larger part of the slots because their demand is larger.
 *
 * <p>The rates of all daemons are summed per team and pool. A pool is short while it admits clearly
 * fewer requests than it is offered; what it admits is its capacity, whatever limits it. Max-min
 * fairness sets one level for all teams: the rate up to which each may ask so that all together
 * reach the capacity. A team at or below the level is within its share with all its requests. Of a
 * team above it, every daemon marks the same fraction as beyond the share, so the requests within
 * add up to the level over the whole fleet, however they are spread over the daemons. Requests
 * beyond the share still run where slots are left.
 *
 * <p>A daemon that knows no sums shares out what it admits itself. Its slots are an equal part of
 * the pool then, so this is an equal part of each entitlement.
 */
public final class TeamShares {

  /** Most teams in an announcement; the rates of the others are small and count as within. */
  static final int MAX_TEAMS = 32;

  /** Most entries of an announcement; a team may use several pools. */
  static final int MAX_ENTRIES = 128;

  /** Time constant of the rates; long against one team's gaps in the fleet, short for a burst. */
  private static final double TIME_CONSTANT_MS = 400;

  private static final double MS_PER_MINUTE = 60_000;

  /** Offered requests per admitted one above which a pool is short; covers the rounding of sums. */
  private static final double SHORT_RATIO = 1.05;

  /**
   * Capacity per admitted request. Without this surplus, slots that stay unused for a moment would
   * lower the capacity, then the level, and with it what is admitted.
   */
  private static final double SURPLUS = 1.05;

  /** Least and greatest part of a pool, in equal parts. */
  private static final double MIN_PARTS = 0.5;

  /**
   * A large team reaches a few daemons, which need more of the pool than a plain demand may get.
   */
  private static final double MAX_PARTS = 8;

  /** Load of a pool below which all may use the free slots; as where daemons must yield. */
  private static final double LENT_BELOW = 0.9;

  /** Rate above the level at which a team is reported as over its share. */
  private static final double REPORTED_OVER = 1.2;

  /** Time for which a team must be within its share before this is reported. */
  private static final long REPORTED_WITHIN_MS = 2_000;

  /** A team that went over its share of a pool, or came back. */
  public record Change(
      String pool, String team, boolean isOver, int perMinute, int sharePerMinute) {}

  private static final class Rate {
    double count;
    long countedMs;

    void add(long nowMs) {
      count = perTimeConstant(nowMs) + 1;
      countedMs = nowMs;
    }

    double perTimeConstant(long nowMs) {
      return count * Math.exp(-(nowMs - countedMs) / TIME_CONSTANT_MS);
    }

    int perMinute(long nowMs) {
      return (int) Math.round(perTimeConstant(nowMs) * MS_PER_MINUTE / TIME_CONSTANT_MS);
    }
  }

  private static final class TeamState {
    final Rate offered = new Rate();
    final Rate admitted = new Rate();
    double fractionWithin = 1;
    double credit = 1;
    boolean isReportedOver;
    long overMs;
  }

  private static final class Pool {
    final Map<String, TeamState> teams = new TreeMap<>();
    double level = Double.POSITIVE_INFINITY;
    double entitledPerMinute;
    boolean isFleet;

    TeamState team(String name) {
      return teams.computeIfAbsent(name, key -> new TeamState());
    }

    boolean isShort() {
      return !Double.isInfinite(level);
    }
  }

  private final Map<String, Pool> pools = new TreeMap<>();

  /** Called when a caller's request for a pool arrived. */
  public void onRequest(String pool, String team, long nowMs) {
    pools.computeIfAbsent(pool, key -> new Pool()).team(team).offered.add(nowMs);
  }

  /** Called when a caller's request was sent to an upstream for the first time. */
  public void onAdmitted(String pool, String team, long nowMs) {
    pools.computeIfAbsent(pool, key -> new Pool()).team(team).admitted.add(nowMs);
  }

  /** Rates at this daemon to announce, of the teams with the most requests. */
  public List<TeamDemand> announced(long nowMs) {
    List<TeamDemand> own = new ArrayList<>();
    pools.forEach(
        (pool, state) ->
            state.teams.forEach(
                (team, rates) -> {
                  int offered = rates.offered.perMinute(nowMs);
                  int admitted = rates.admitted.perMinute(nowMs);
                  if (offered > 0 || admitted > 0) {
                    own.add(
                        new TeamDemand(
                            TeamDemand.hash(team), TeamDemand.hash(pool), offered, admitted));
                  }
                }));
    return largest(own);
  }

  /** Sums over daemons, of the teams with the most requests. */
  public static List<TeamDemand> sum(Collection<List<TeamDemand>> daemons) {
    Map<Long, TeamDemand> sums = new LinkedHashMap<>();
    for (List<TeamDemand> demands : daemons) {
      for (TeamDemand each : demands) {
        long key = (long) each.pool() << Integer.SIZE | (each.team() & 0xffff_ffffL);
        sums.merge(key, each, TeamDemand::plus);
      }
    }
    return largest(sums.values());
  }

  private static List<TeamDemand> largest(Collection<TeamDemand> demands) {
    Map<Integer, Integer> byTeam = new HashMap<>();
    demands.forEach(each -> byTeam.merge(each.team(), each.offeredPerMinute(), Integer::sum));
    List<Integer> teams = new ArrayList<>(byTeam.keySet());
    teams.sort(Comparator.comparingInt((Integer team) -> -byTeam.getOrDefault(team, 0)));
    Set<Integer> kept = new HashSet<>(teams.subList(0, Math.min(MAX_TEAMS, teams.size())));
    return demands.stream()
        .filter(each -> kept.contains(each.team()))
        .sorted(Comparator.comparingInt((TeamDemand each) -> -each.offeredPerMinute()))
        .limit(MAX_ENTRIES)
        .toList();
  }

  /**
   * Sets the shares.
   *
   * @param fleet sums of all daemons; null if unknown
   */
  public void update(@Nullable List<TeamDemand> fleet, long nowMs) {
    List<TeamDemand> demands = fleet == null ? announced(nowMs) : fleet;
    for (Map.Entry<String, Pool> entry : pools.entrySet()) {
      Pool pool = entry.getValue();
      int poolHash = TeamDemand.hash(entry.getKey());
      Map<Integer, Integer> offered = new HashMap<>();
      double sumOffered = 0;
      double sumAdmitted = 0;
      for (TeamDemand each : demands) {
        if (each.pool() == poolHash) {
          offered.merge(each.team(), each.offeredPerMinute(), Integer::sum);
          sumOffered += each.offeredPerMinute();
          sumAdmitted += each.admittedPerMinute();
        }
      }
      boolean isShort = offered.size() > 1 && sumOffered > SHORT_RATIO * sumAdmitted;
      pool.isFleet = fleet != null;
      pool.level =
          isShort ? level(offered.values(), SURPLUS * sumAdmitted) : Double.POSITIVE_INFINITY;
      pool.entitledPerMinute = 0;
      for (int rate : offered.values()) {
        pool.entitledPerMinute += Math.min(rate, pool.level);
      }
      pool.teams.forEach(
          (team, state) -> {
            int rate = offered.getOrDefault(TeamDemand.hash(team), 0);
            state.fractionWithin = rate <= pool.level ? 1 : pool.level / rate;
          });
    }
  }

  /**
   * Returns the max-min fair level: the rate up to which each team is served so that all together
   * use the capacity; infinite if the capacity is enough for all.
   */
  static double level(Collection<Integer> rates, double capacity) {
    List<Integer> ascending = new ArrayList<>(rates);
    ascending.sort(null);
    double left = capacity;
    for (int i = 0; i < ascending.size(); i++) {
      double equalPart = left / (ascending.size() - i);
      if (ascending.get(i) > equalPart) {
        return equalPart;
      }
      left -= ascending.get(i);
    }
    return Double.POSITIVE_INFINITY;
  }

  /** Decides whether the next request of a team is beyond its share. */
  public boolean isNextBeyond(String pool, String team) {
    Pool state = pools.get(pool);
    if (state == null || !state.isShort()) {
      return false;
    }
    TeamState rates = state.team(team);
    if (rates.fractionWithin >= 1) {
      rates.credit = 1;
      return false;
    }
    rates.credit += rates.fractionWithin;
    if (rates.credit < 1) {
      return true;
    }
    rates.credit -= 1;
    return false;
  }

  /**
   * This daemon's part of a pool by the requests within the teams' shares, from 0 to 1; negative
   * while the pool is not short or the sums are unknown, so that the whole demand decides.
   */
  public double part(String pool, int daemons, long nowMs) {
    Pool state = pools.get(pool);
    if (state == null || !state.isShort() || !state.isFleet) {
      return -1;
    }
    double own = 0;
    for (TeamState team : state.teams.values()) {
      own += team.fractionWithin * team.offered.perMinute(nowMs);
    }
    double equal = 1.0 / Math.max(1, daemons);
    double part = (own + 1) / (state.entitledPerMinute + daemons);
    return Math.min(1, Math.min(MAX_PARTS * equal, Math.max(MIN_PARTS * equal, part)));
  }

  /**
   * Whether a request beyond its team's share may take a free slot of a pool that is short. Slots
   * that a daemon refills with such requests never return to the daemons of the other teams, so it
   * does so only up to its part of the pool, or while the pool has room for requests within.
   *
   * @param part this daemon's part of the pool; see {@link #part}
   */
  public static boolean hasRoomBeyond(List<Endpoint> pool, double part) {
    int slots = 0;
    int own = 0;
    int all = 0;
    for (Endpoint endpoint : pool) {
      slots += endpoint.slots();
      own += endpoint.ownInFlight();
      all += endpoint.inFlight();
    }
    return part < 0 || all < LENT_BELOW * slots || own < part * slots;
  }

  /** Teams that went over their share or came back since the last call. */
  public List<Change> changes(List<TeamDemand> demands, long nowMs) {
    List<Change> changes = new ArrayList<>();
    pools.forEach(
        (name, pool) ->
            pool.teams.forEach(
                (team, state) -> {
                  int rate = offered(demands, name, team);
                  boolean isOver = pool.isShort() && rate > REPORTED_OVER * pool.level;
                  if (isOver) {
                    state.overMs = nowMs;
                  }
                  boolean isBack =
                      state.isReportedOver && nowMs - state.overMs >= REPORTED_WITHIN_MS;
                  if (isBack || (isOver && !state.isReportedOver)) {
                    state.isReportedOver = isOver;
                    int share = pool.isShort() ? (int) pool.level : rate;
                    changes.add(new Change(name, team, isOver, rate, share));
                  }
                }));
    return changes;
  }

  private static int offered(List<TeamDemand> demands, String pool, String team) {
    int sum = 0;
    for (TeamDemand each : demands) {
      if (each.pool() == TeamDemand.hash(pool) && each.team() == TeamDemand.hash(team)) {
        sum += each.offeredPerMinute();
      }
    }
    return sum;
  }
}
