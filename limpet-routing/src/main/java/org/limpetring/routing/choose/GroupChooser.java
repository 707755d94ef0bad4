package org.limpetring.routing.choose;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.GroupId;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;

/**
 * Decides which warm group gets a request.
 *
 * <p>With an affinity, the group that the digest ranks highest, while it has at most 1.25 times the
 * mean load: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA
 * 2018. Else the least loaded of two drawn in the daemon's failure domain and two drawn outside,
 * where a group outside counts as a quarter of a request busier: Mitzenmacher, "The Power of Two
 * Choices in Randomized Load Balancing", IEEE Transactions on Parallel and Distributed Systems
 * 12(10), 2001. Where no drawn group has a place, all are looked at.
 */
public final class GroupChooser {

  /** Limit of every group where none is given. */
  public static final ToIntFunction<ServingGroup> NO_LIMIT = group -> Integer.MAX_VALUE;

  private static final int DRAWS = 2;
  private static final double FAR_PENALTY = 0.25;
  private static final double AFFINITY_BOUND = 1.25;
  private static final long MIX_FACTOR = 0x9E37_79B9_7F4A_7C15L;

  private final InFlightCounts inFlight;

  /** Compares groups by {@code inFlight} and by their reported load. */
  public GroupChooser(InFlightCounts inFlight) {
    this.inFlight = inFlight;
  }

  /** As the longer form, without affinity and without limits. */
  public Optional<ServingGroup> choose(
      GroupIndex index, PoolName pool, Set<GroupId> excluded, RandomGenerator random) {
    return choose(index, pool, excluded, 0, NO_LIMIT, random);
  }

  /**
   * The group that gets the request, or empty where no warm group is left.
   *
   * @param excluded groups that this request has tried
   * @param affinity digest of the start of the prompt, or 0
   * @param limits requests at once that this daemon gives a group
   */
  public Optional<ServingGroup> choose(
      GroupIndex index,
      PoolName pool,
      Set<GroupId> excluded,
      long affinity,
      ToIntFunction<ServingGroup> limits,
      RandomGenerator random) {
    GroupIndex.PoolGroups groups = index.poolGroups(pool);
    if (affinity != 0) {
      ServingGroup preferred = preferred(groups, affinity);
      if (preferred != null
          && isOpen(preferred, excluded, limits)
          && isBounded(preferred, groups)) {
        return Optional.of(preferred);
      }
    }
    Best best = new Best(excluded, limits);
    draw(groups.near(), 0, best, random);
    draw(groups.far(), FAR_PENALTY, best, random);
    if (best.group == null) {
      groups.near().forEach(group -> best.offer(group, 0));
      groups.far().forEach(group -> best.offer(group, FAR_PENALTY));
    }
    return Optional.ofNullable(best.group);
  }

  private static void draw(
      List<ServingGroup> from, double penalty, Best best, RandomGenerator random) {
    for (int draw = 0; draw < DRAWS && !from.isEmpty(); draw++) {
      best.offer(from.get(random.nextInt(from.size())), penalty);
    }
  }

  private static @Nullable ServingGroup preferred(GroupIndex.PoolGroups groups, long affinity) {
    ServingGroup preferred = null;
    long highest = Long.MIN_VALUE;
    for (List<ServingGroup> part : List.of(groups.near(), groups.far())) {
      for (ServingGroup group : part) {
        long weight = mix(affinity ^ group.id().value().hashCode() * MIX_FACTOR);
        if (weight > highest || preferred == null) {
          highest = weight;
          preferred = group;
        }
      }
    }
    return preferred;
  }

  private static long mix(long value) {
    long mixed = (value ^ value >>> 32) * MIX_FACTOR;
    return mixed ^ mixed >>> 29;
  }

  private boolean isBounded(ServingGroup group, GroupIndex.PoolGroups groups) {
    double mean = (inFlight.total() + 1.0) / groups.warmCount();
    return inFlight.get(group.id()) + 1 <= Math.ceil(AFFINITY_BOUND * mean);
  }

  private boolean isOpen(
      ServingGroup group, Set<GroupId> excluded, ToIntFunction<ServingGroup> limits) {
    return !excluded.contains(group.id()) && inFlight.get(group.id()) < limits.applyAsInt(group);
  }

  /** The report counts requests of all daemons but lags; the own count is fresh. */
  private int load(ServingGroup group) {
    return Math.max(group.reportedLoad(), inFlight.get(group.id()));
  }

  /** Best group of those offered. */
  private final class Best {
    final Set<GroupId> excluded;
    final ToIntFunction<ServingGroup> limits;
    @Nullable ServingGroup group;
    double load;

    Best(Set<GroupId> excluded, ToIntFunction<ServingGroup> limits) {
      this.excluded = excluded;
      this.limits = limits;
    }

    void offer(ServingGroup offered, double penalty) {
      double offeredLoad = load(offered) + penalty;
      boolean isBetter = group == null || offeredLoad < load;
      if (isBetter && isOpen(offered, excluded, limits)) {
        group = offered;
        load = offeredLoad;
      }
    }
  }
}
