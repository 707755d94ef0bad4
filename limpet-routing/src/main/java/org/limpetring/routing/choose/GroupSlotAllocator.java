package org.limpetring.routing.choose;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.limpetring.base.GroupId;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.admit.SlotAllocator;
import org.limpetring.routing.admit.Ticket;

/** Places of the warm groups of one pool, by the index in force. */
public final class GroupSlotAllocator implements SlotAllocator {

  private final PoolName pool;
  private final Supplier<GroupIndex> index;
  private final InFlightCounts inFlight;
  private final GroupChooser chooser;
  private final ToIntFunction<ServingGroup> limits;
  private final RandomGenerator random;

  /**
   * Places of {@code pool}.
   *
   * @param limits requests at once that this daemon gives a group
   */
  public GroupSlotAllocator(
      PoolName pool,
      Supplier<GroupIndex> index,
      InFlightCounts inFlight,
      ToIntFunction<ServingGroup> limits,
      RandomGenerator random) {
    this.pool = pool;
    this.index = index;
    this.inFlight = inFlight;
    this.chooser = new GroupChooser(inFlight);
    this.limits = limits;
    this.random = random;
  }

  @Override
  public Optional<ServingGroup> occupy(Ticket ticket) {
    Optional<ServingGroup> chosen =
        chooser.choose(index.get(), pool, ticket.excluded(), ticket.affinity(), limits, random);
    return chosen.filter(group -> inFlight.tryBegin(group.id(), limits.applyAsInt(group)));
  }

  @Override
  public boolean hasServingGroup(Set<GroupId> excluded) {
    GroupIndex.PoolGroups groups = index.get().poolGroups(pool);
    return groups.near().stream().anyMatch(group -> !excluded.contains(group.id()))
        || groups.far().stream().anyMatch(group -> !excluded.contains(group.id()));
  }

  @Override
  public void vacate(ServingGroup group) {
    inFlight.end(group.id());
  }

  @Override
  public int capacity() {
    GroupIndex.PoolGroups groups = index.get().poolGroups(pool);
    int near = groups.near().stream().mapToInt(limits).sum();
    return near + groups.far().stream().mapToInt(limits).sum();
  }
}
