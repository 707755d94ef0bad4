package org.limpetring.routing.choose;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.limpetring.base.GroupId;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;

/**
 * Decides which warm group gets a request: the less loaded of two drawn at random.
 *
 * <p>Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE Transactions on
 * Parallel and Distributed Systems 12(10), 2001.
 */
public final class GroupChooser {

  private final InFlightCounts inFlight;

  /** Compares groups by {@code inFlight} and by their reported load. */
  public GroupChooser(InFlightCounts inFlight) {
    this.inFlight = inFlight;
  }

  /**
   * The group that gets the request, or empty where no warm group is left.
   *
   * @param excluded groups that this request has tried
   */
  public Optional<ServingGroup> choose(
      GroupIndex index, PoolName pool, Set<GroupId> excluded, RandomGenerator random) {
    List<ServingGroup> candidates = new ArrayList<>();
    for (ServingGroup group : index.groupsOf(pool)) {
      if (!group.cold() && !excluded.contains(group.id())) {
        candidates.add(group);
      }
    }
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    ServingGroup first = candidates.get(random.nextInt(candidates.size()));
    ServingGroup second = candidates.get(random.nextInt(candidates.size()));
    return Optional.of(load(second) < load(first) ? second : first);
  }

  private int load(ServingGroup group) {
    return Math.max(group.reportedLoad(), inFlight.get(group.id()));
  }
}
