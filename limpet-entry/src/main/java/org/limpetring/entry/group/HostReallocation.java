package org.limpetring.entry.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.ModelSpec;

/**
 * Decides which groups of a model with spare capacity are dissolved, so that their hosts load a
 * model that is short.
 *
 * <p>Load pattern: the requests of a small, urgent model exceed its groups' capacity while the
 * groups of a large model are half idle, and no free host is left. A load takes 12 to 16 s, in
 * which the hosts serve nobody, and the demand may change again meanwhile. Therefore hosts move
 * only if
 *
 * <ul>
 *   <li>the receiver has been short for some seconds, and groups that are under way are not enough;
 *   <li>the donor keeps room for the highest demand of the last minute;
 *   <li>what the move costs, the capacity of the dissolved groups until the new ones serve, is less
 *       than what the receiver gains in the time that the demand is expected to last.
 * </ul>
 *
 * <p>Load pattern: the demand for two models rises and falls in turn. Therefore a model that has
 * received hosts gives none for some time, which doubles with each further reversal, and a move
 * back counts only on as much time as the need has lasted already.
 *
 * <p>Load pattern: after a takeover or while the planner is cut off, the demand that it knows is a
 * part of the whole. Therefore it moves nothing before it has heard from the fleet for some time.
 */
public final class HostReallocation {

  /**
   * Demand and groups of one model.
   *
   * @param serving groups that serve
   * @param coming groups that form, and those that loads in progress complete
   */
  public record ModelState(ModelSpec model, ModelDemand demand, int serving, int coming) {}

  /** Group that serves and may be dissolved. */
  public record Donor(String group, String model, String fabricDomain) {}

  /**
   * State of a pool.
   *
   * @param sparesByDomain free hosts that hold or load a model, by fabric domain and model
   * @param leaving groups by model that are being dissolved for another model
   * @param loadsLeft number of loads that may begin now
   */
  public record Pool(
      EngineSpec engine,
      List<ModelState> models,
      List<Donor> donors,
      Map<String, Map<String, Integer>> sparesByDomain,
      Map<String, Integer> leaving,
      int loadsLeft) {}

  /**
   * Groups to dissolve.
   *
   * @param gained groups of the receiving model that their hosts complete
   * @param reservedHosts hosts that these groups take; the others remain with the donor's model
   */
  public record Move(
      String from,
      String to,
      String fabricDomain,
      List<String> groups,
      int gained,
      int reservedHosts,
      double unmetRatio,
      long shortForMs) {}

  /** Time for which the planner must have heard from the fleet without interruption. */
  static final long HEARING_MS = 3_000;

  /** Time for which a model must have been short; longer than most losses of groups. */
  static final long SHORT_MS = 3_000;

  /** Load of the donor after the move, at the highest demand of the last minute. */
  static final double DONOR_LOAD = 0.7;

  /** Part of its requests that a donor may leave unmet. */
  private static final double DONOR_UNMET_RATIO = 0.02;

  /** Part of the donor's groups that may move at the same time. */
  private static final double MAX_MOVING_PART = 0.25;

  /** Demand is expected to last at least so many load times, and as long as it has lasted. */
  private static final double EXPECTED_LOADS = 4;

  private static final double MAX_EXPECTED_LOADS = 20;

  /** Time to drain a group: about that of a request. */
  private static final long DRAIN_MS = 1_500;

  /** Time in which the demand follows new groups. */
  private static final long SETTLE_MS = 5_000;

  /** Hosts that only wait for a load are lost capacity. */
  private static final double MAX_LOAD_ROUNDS = 2;

  /** Least time between two opposite moves, in load times. */
  private static final double REVERSAL_LOADS = 4;

  /** Time without a reversal after which the least time is that of the first one again. */
  private static final double FORGET_LOADS = 60;

  private static final int MAX_DOUBLINGS = 4;

  /** How much larger the need must be for a move back. */
  private static final double REVERSAL_FACTOR = 2;

  /** Decaying maximum of a model's demand. */
  private static final class Peak {
    double slots;
    long atMs;

    void add(double now, long nowMs, double timeConstantMs) {
      slots = Math.max(now, slots * Math.exp(-(nowMs - atMs) / timeConstantMs));
      atMs = nowMs;
    }
  }

  /** Moves between two models. */
  private static final class Pair {
    String to = "";
    long movedMs;
    long reversedMs;
    int reversals;
  }

  private static final Pair NO_MOVES = new Pair();

  private final Map<String, Long> shortSinceMs = new HashMap<>();
  private final Map<String, Peak> peaks = new HashMap<>();
  private final Map<String, Pair> pairs = new HashMap<>();
  private final Map<String, Long> receivedUntilMs = new HashMap<>();
  private long hearingSinceMs = Long.MAX_VALUE;

  /** Discards everything; a planner that gains the role starts anew. */
  public void reset() {
    shortSinceMs.clear();
    peaks.clear();
    pairs.clear();
    receivedUntilMs.clear();
    hearingSinceMs = Long.MAX_VALUE;
  }

  /**
   * Decides which groups of a pool are dissolved now; called several times a second.
   *
   * @param isHearing whether at least half of the known daemons were heard from lately
   */
  public List<Move> decide(Pool pool, boolean isHearing, long nowMs) {
    if (!isHearing) {
      hearingSinceMs = Long.MAX_VALUE;
      shortSinceMs.clear();
      return List.of();
    }
    hearingSinceMs = Math.min(hearingSinceMs, nowMs);
    for (ModelState state : pool.models()) {
      observe(pool, state, nowMs);
    }
    if (nowMs - hearingSinceMs < HEARING_MS) {
      return List.of();
    }
    List<ModelState> receivers = new ArrayList<>();
    for (ModelState state : pool.models()) {
      if (isReceiver(state, nowMs)) {
        receivers.add(state);
      }
    }
    receivers.sort(
        Comparator.comparingInt((ModelState state) -> state.demand().urgentRank())
            .thenComparing(state -> -state.demand().unmetRatio()));
    for (ModelState receiver : receivers) {
      List<Move> moves = movesTo(receiver, pool, nowMs);
      if (!moves.isEmpty()) {
        return moves;
      }
    }
    return List.of();
  }

  private void observe(Pool pool, ModelState state, long nowMs) {
    String name = state.model().name();
    ModelDemand demand = state.demand();
    peaks
        .computeIfAbsent(name, key -> new Peak())
        .add(demand.slotsNeeded(), nowMs, EXPECTED_LOADS * loadMs(state));
    double slots = (double) Math.max(1, state.serving()) * pool.engine().slots();
    boolean isLoaded =
        state.serving() == 0 || demand.slotsNeeded() >= ModelDemand.MIN_SHORT_LOAD * slots;
    double ratio = demand.unmetRatio();
    if (ratio >= ModelDemand.SHORT_RATIO && isLoaded) {
      shortSinceMs.putIfAbsent(name, nowMs);
    } else if (ratio < ModelDemand.SHORT_RATIO / 2 || !isLoaded) {
      shortSinceMs.remove(name);
    }
  }

  private boolean isReceiver(ModelState state, long nowMs) {
    String name = state.model().name();
    Long sinceMs = shortSinceMs.get(name);
    return sinceMs != null
        && nowMs - sinceMs >= SHORT_MS
        && state.demand().unmetRatio() >= ModelDemand.SHORT_RATIO
        && nowMs >= receivedUntilMs.getOrDefault(name, Long.MIN_VALUE)
        && missingGroups(state) > 0;
  }

  private static int missingGroups(ModelState state) {
    return state.demand().groupsWanted(state.serving()) - state.serving() - state.coming();
  }

  private List<Move> movesTo(ModelState receiver, Pool pool, long nowMs) {
    List<ModelState> donors = new ArrayList<>(pool.models());
    donors.remove(receiver);
    donors.sort(Comparator.comparingDouble(donor -> load(donor, donor.serving(), pool)));
    for (ModelState donor : donors) {
      List<Move> moves = moves(donor, receiver, pool, nowMs);
      if (!moves.isEmpty()) {
        onMoved(donor, receiver, moves, pool, nowMs);
        return moves;
      }
    }
    return List.of();
  }

  private double load(ModelState state, int groups, Pool pool) {
    Peak peak = peaks.get(state.model().name());
    double slots = peak == null ? state.demand().slotsNeeded() : peak.slots;
    return slots / (Math.max(1, groups) * (double) pool.engine().slots());
  }

  private List<Move> moves(ModelState donor, ModelState receiver, Pool pool, long nowMs) {
    if (donor.demand().isUnknown()
        || donor.demand().unmetRatio() > DONOR_UNMET_RATIO
        || shortSinceMs.containsKey(donor.model().name())) {
      return List.of();
    }
    Pair pair = pairs.getOrDefault(key(donor, receiver), NO_MOVES);
    boolean isReversal = pair.to.equals(donor.model().name());
    if (isReversal && !mayReverse(pair, donor, receiver, nowMs)) {
      return List.of();
    }
    int leaving = pool.leaving().getOrDefault(donor.model().name(), 0);
    int mayLeave = Math.max(1, (int) ((donor.serving() + leaving) * MAX_MOVING_PART)) - leaving;
    Map<String, List<Donor>> groupsByDomain = new TreeMap<>();
    for (Donor group : pool.donors()) {
      if (group.model().equals(donor.model().name())) {
        groupsByDomain.computeIfAbsent(group.fabricDomain(), key -> new ArrayList<>()).add(group);
      }
    }
    Map<String, Integer> spares = new HashMap<>();
    groupsByDomain
        .keySet()
        .forEach(domain -> spares.put(domain, spares(pool, domain, receiver.model())));
    List<Move> moves = new ArrayList<>();
    int moved = 0;
    int hosts = 0;
    int missing = missingGroups(receiver);
    double unmetSlots = unmetSlots(receiver, pool);
    while (missing > 0) {
      String domain = bestDomain(groupsByDomain, spares, donor.model(), receiver.model());
      if (domain == null) {
        break;
      }
      int needed = groupsNeeded(spares.getOrDefault(domain, 0), donor.model(), receiver.model());
      int remaining = donor.serving() - moved - needed;
      int moveHosts = needed * donor.model().groupSize();
      boolean isAllowed =
          pool.loadsLeft() > 0
              && moved + needed <= mayLeave
              && remaining >= 1
              && load(donor, remaining, pool) <= DONOR_LOAD
              && loadRounds(pool, hosts + moveHosts) <= MAX_LOAD_ROUNDS;
      int freed = moveHosts + spares.getOrDefault(domain, 0);
      int gained = freed / receiver.model().groupSize();
      boolean isWorth =
          pays(receiver, pool, needed, gained, hosts + moveHosts, unmetSlots, isReversal, nowMs);
      if (!isAllowed || !isWorth) {
        break;
      }
      List<Donor> groups = groupsByDomain.getOrDefault(domain, new ArrayList<>());
      List<String> names = new ArrayList<>();
      for (int i = 0; i < needed; i++) {
        names.add(groups.remove(groups.size() - 1).group());
      }
      moves.add(
          new Move(
              donor.model().name(),
              receiver.model().name(),
              domain,
              names,
              gained,
              gained * receiver.model().groupSize() - spares.getOrDefault(domain, 0),
              receiver.demand().unmetRatio(),
              shortForMs(receiver, nowMs)));
      spares.put(domain, 0);
      moved += needed;
      hosts += moveHosts;
      missing -= gained;
      unmetSlots -= (double) gained * pool.engine().slots();
    }
    return moves;
  }

  /** Free hosts of a fabric domain that hold or load the model and are too few for a group. */
  private static int spares(Pool pool, String domain, ModelSpec model) {
    return pool.sparesByDomain().getOrDefault(domain, Map.of()).getOrDefault(model.name(), 0)
        % model.groupSize();
  }

  private static int groupsNeeded(int spares, ModelSpec from, ModelSpec to) {
    return (to.groupSize() - spares + from.groupSize() - 1) / from.groupSize();
  }

  /**
   * Fabric domain where fewest groups have to be dissolved for one of the receiver's, and of these
   * the one with most groups of the donor.
   */
  private static @Nullable String bestDomain(
      Map<String, List<Donor>> groupsByDomain,
      Map<String, Integer> spares,
      ModelSpec from,
      ModelSpec to) {
    String best = null;
    int bestNeeded = Integer.MAX_VALUE;
    int bestCount = 0;
    for (Map.Entry<String, List<Donor>> domain : groupsByDomain.entrySet()) {
      int count = domain.getValue().size();
      int needed = groupsNeeded(spares.getOrDefault(domain.getKey(), 0), from, to);
      boolean isBetter = needed < bestNeeded || (needed == bestNeeded && count > bestCount);
      if (needed <= count && isBetter) {
        best = domain.getKey();
        bestNeeded = needed;
        bestCount = count;
      }
    }
    return best;
  }

  /**
   * Whether the receiver gains more by some groups, in the time that the demand is expected to
   * last, than the dissolved ones could have served until the new ones open.
   */
  private boolean pays(
      ModelState receiver,
      Pool pool,
      int dissolved,
      int gained,
      int hosts,
      double unmetSlots,
      boolean isReversal,
      long nowMs) {
    double slots = pool.engine().slots();
    double moveMs = moveMs(receiver, pool, hosts);
    double expectedMs = shortForMs(receiver, nowMs);
    if (!isReversal) {
      expectedMs = Math.max(EXPECTED_LOADS * loadMs(receiver), expectedMs);
    }
    expectedMs = Math.min(MAX_EXPECTED_LOADS * loadMs(receiver), expectedMs);
    double gain = Math.min(unmetSlots, gained * slots) * Math.max(0, expectedMs - moveMs);
    double cost = dissolved * slots * moveMs;
    return gain > cost * (isReversal ? REVERSAL_FACTOR : 1);
  }

  private static double unmetSlots(ModelState receiver, Pool pool) {
    ModelDemand demand = receiver.demand();
    return demand.isUnknown() ? pool.engine().slots() : demand.slotsNeeded() * demand.unmetRatio();
  }

  /** Load times until that many hosts have loaded, with the loads that may begin now. */
  private static double loadRounds(Pool pool, int hosts) {
    return Math.ceil(hosts / (double) Math.max(1, pool.loadsLeft()));
  }

  private static double moveMs(ModelState receiver, Pool pool, int hosts) {
    return DRAIN_MS + loadRounds(pool, hosts) * loadMs(receiver) + pool.engine().formMs();
  }

  private long shortForMs(ModelState state, long nowMs) {
    return nowMs - shortSinceMs.getOrDefault(state.model().name(), nowMs);
  }

  private static double loadMs(ModelState state) {
    return Math.max(1, state.model().loadMs());
  }

  private boolean mayReverse(Pair pair, ModelState donor, ModelState receiver, long nowMs) {
    double leastMs =
        REVERSAL_LOADS
            * Math.max(loadMs(donor), loadMs(receiver))
            * (1 << Math.min(MAX_DOUBLINGS, pair.reversals));
    return nowMs - pair.movedMs >= leastMs
        && receiver.demand().unmetRatio() >= REVERSAL_FACTOR * ModelDemand.SHORT_RATIO;
  }

  private void onMoved(
      ModelState donor, ModelState receiver, List<Move> moves, Pool pool, long nowMs) {
    int hosts = 0;
    for (Move move : moves) {
      hosts += move.groups().size() * donor.model().groupSize();
    }
    receivedUntilMs.put(
        receiver.model().name(), nowMs + (long) moveMs(receiver, pool, hosts) + SETTLE_MS);
    Pair pair = pairs.computeIfAbsent(key(donor, receiver), key -> new Pair());
    boolean isReversal = pair.to.equals(donor.model().name());
    if (nowMs - pair.reversedMs > FORGET_LOADS * loadMs(receiver)) {
      pair.reversals = 0;
    }
    if (isReversal) {
      pair.reversals++;
      pair.reversedMs = nowMs;
    }
    pair.to = receiver.model().name();
    pair.movedMs = nowMs;
  }

  private static String key(ModelState first, ModelState second) {
    String a = first.model().name();
    String b = second.model().name();
    return a.compareTo(b) < 0 ? a + '/' + b : b + '/' + a;
  }
}
