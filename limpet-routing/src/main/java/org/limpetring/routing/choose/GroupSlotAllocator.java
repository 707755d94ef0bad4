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

/** Allocates request slots of the warm groups of one pool, by the current index. */
public final class GroupSlotAllocator implements SlotAllocator {

  private final PoolName pool;
  private final Supplier<GroupIndex> index;
  private final InFlightCounts inFlight;
  private final GroupChooser chooser;
  private final ToIntFunction<ServingGroup> limits;
  private final RandomGenerator random;

  /**
   * Creates the allocator of {@code pool}.
   *
   * @param limits number of concurrent requests that this daemon may send to a group
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
  public Optional<ServingGroup> acquire(Ticket ticket) {
    Optional<ServingGroup> chosen =
        chooser.choose(index.get(), pool, ticket.excluded(), ticket.affinity(), limits, random);
    return chosen.filter(group -> inFlight.tryBegin(group.id(), limits.applyAsInt(group)));
  }

  @Override
  public boolean hasServingGroup(Set<GroupId> excluded) {
    GroupIndex.PoolGroups groups = index.get().poolGroups(pool);
    return groups.local().stream().anyMatch(group -> !excluded.contains(group.id()))
        || groups.remote().stream().anyMatch(group -> !excluded.contains(group.id()));
  }

  @Override
  public void release(ServingGroup group) {
    inFlight.end(group.id());
  }

  @Override
  public int capacity() {
    GroupIndex.PoolGroups groups = index.get().poolGroups(pool);
    int local = groups.local().stream().mapToInt(limits).sum();
    return local + groups.remote().stream().mapToInt(limits).sum();
  }
}
