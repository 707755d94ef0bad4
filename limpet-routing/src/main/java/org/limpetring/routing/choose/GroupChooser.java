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
 * Selects the warm group that a request is sent to.
 *
 * <p>A request with an affinity goes to the group that its digest ranks highest, as long as that
 * group has at most 1.25 times the mean load: Mirrokni, Thorup and Zadimoghaddam, "Consistent
 * Hashing with Bounded Loads", SODA 2018. Otherwise it goes to the least loaded of two random
 * groups of the daemon's failure domain and two random groups of other domains, where the load of a
 * remote group counts a quarter of a request more: Mitzenmacher, "The Power of Two Choices in
 * Randomized Load Balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
 * If no sampled group has capacity, all groups are compared.
 */
public final class GroupChooser {

  /** Limit function that does not limit any group. */
  public static final ToIntFunction<ServingGroup> NO_LIMIT = group -> Integer.MAX_VALUE;

  private static final int SAMPLES_PER_DOMAIN = 2;
  private static final double REMOTE_PENALTY = 0.25;
  private static final double AFFINITY_LOAD_BOUND = 1.25;
  private static final long MIX_FACTOR = 0x9E37_79B9_7F4A_7C15L;

  private final InFlightCounts inFlight;

  /** Creates a chooser that compares groups by {@code inFlight} and by their reported load. */
  public GroupChooser(InFlightCounts inFlight) {
    this.inFlight = inFlight;
  }

  /** Selects a group without affinity and without limits. */
  public Optional<ServingGroup> choose(
      GroupIndex index, PoolName pool, Set<GroupId> excluded, RandomGenerator random) {
    return choose(index, pool, excluded, 0, NO_LIMIT, random);
  }

  /**
   * Selects the group for a request; empty if no warm group has capacity.
   *
   * @param excluded groups that this request has already tried
   * @param affinity digest of the start of the prompt, or 0 for no affinity
   * @param limits number of concurrent requests that this daemon may send to a group
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
          && hasCapacity(preferred, excluded, limits)
          && isWithinLoadBound(preferred, groups)) {
        return Optional.of(preferred);
      }
    }
    BestGroup best = new BestGroup(excluded, limits);
    offerSamples(groups.local(), 0, best, random);
    offerSamples(groups.remote(), REMOTE_PENALTY, best, random);
    if (best.group == null) {
      groups.local().forEach(group -> best.offer(group, 0));
      groups.remote().forEach(group -> best.offer(group, REMOTE_PENALTY));
    }
    return Optional.ofNullable(best.group);
  }

  private static void offerSamples(
      List<ServingGroup> candidates, double penalty, BestGroup best, RandomGenerator random) {
    for (int sample = 0; sample < SAMPLES_PER_DOMAIN && !candidates.isEmpty(); sample++) {
      best.offer(candidates.get(random.nextInt(candidates.size())), penalty);
    }
  }

  private static @Nullable ServingGroup preferred(GroupIndex.PoolGroups groups, long affinity) {
    ServingGroup preferred = null;
    long highest = Long.MIN_VALUE;
    for (List<ServingGroup> candidates : List.of(groups.local(), groups.remote())) {
      for (ServingGroup group : candidates) {
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

  private boolean isWithinLoadBound(ServingGroup group, GroupIndex.PoolGroups groups) {
    double mean = (inFlight.total() + 1.0) / groups.warmCount();
    return inFlight.get(group.id()) + 1 <= Math.ceil(AFFINITY_LOAD_BOUND * mean);
  }

  private boolean hasCapacity(
      ServingGroup group, Set<GroupId> excluded, ToIntFunction<ServingGroup> limits) {
    return !excluded.contains(group.id()) && inFlight.get(group.id()) < limits.applyAsInt(group);
  }

  /**
   * The reported load counts the requests of all daemons but lags; this daemon's own count is
   * current.
   */
  private int load(ServingGroup group) {
    return Math.max(group.reportedLoad(), inFlight.get(group.id()));
  }

  /** Least loaded group among the offered candidates. */
  private final class BestGroup {
    final Set<GroupId> excluded;
    final ToIntFunction<ServingGroup> limits;
    @Nullable ServingGroup group;
    double load;

    BestGroup(Set<GroupId> excluded, ToIntFunction<ServingGroup> limits) {
      this.excluded = excluded;
      this.limits = limits;
    }

    void offer(ServingGroup candidate, double penalty) {
      double candidateLoad = load(candidate) + penalty;
      boolean isBetter = group == null || candidateLoad < load;
      if (isBetter && hasCapacity(candidate, excluded, limits)) {
        group = candidate;
        load = candidateLoad;
      }
    }
  }
}
