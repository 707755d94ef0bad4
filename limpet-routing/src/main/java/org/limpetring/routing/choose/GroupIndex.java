package org.limpetring.routing.choose;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.limpetring.base.GroupId;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;

/** Serving groups sorted by pool; immutable, rebuilt whenever the list of groups changes. */
public final class GroupIndex {

  /** Index without a group. */
  public static final GroupIndex EMPTY = of(List.of());

  private final Map<GroupId, ServingGroup> byId;
  private final Map<PoolName, List<ServingGroup>> byPool;

  private GroupIndex(Map<GroupId, ServingGroup> byId, Map<PoolName, List<ServingGroup>> byPool) {
    this.byId = byId;
    this.byPool = byPool;
  }

  /** Index of {@code groups}; the list holds only groups that may get new work. */
  public static GroupIndex of(List<ServingGroup> groups) {
    Map<GroupId, ServingGroup> byId = new HashMap<>();
    Map<PoolName, List<ServingGroup>> byPool = new HashMap<>();
    for (ServingGroup group : groups) {
      byId.put(group.id(), group);
      byPool.computeIfAbsent(group.pool(), name -> new ArrayList<>()).add(group);
    }
    return new GroupIndex(byId, byPool);
  }

  /** Groups of one pool. */
  public List<ServingGroup> groupsOf(PoolName pool) {
    return byPool.getOrDefault(pool, List.of());
  }

  /** The group as it is now, or empty where it no longer serves. */
  public Optional<ServingGroup> find(GroupId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Whether {@code chosen} still serves with the same members; asked right before dispatch. */
  public boolean stillServes(ServingGroup chosen) {
    ServingGroup current = byId.get(chosen.id());
    return current != null
        && current.epoch() == chosen.epoch()
        && current.incarnation().equals(chosen.incarnation())
        && current.cold() == chosen.cold();
  }
}
