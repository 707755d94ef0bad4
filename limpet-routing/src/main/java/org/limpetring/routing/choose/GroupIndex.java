package org.limpetring.routing.choose;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.PoolName;
import org.limpetring.base.Rendezvous;
import org.limpetring.groups.ServingGroup;

/** Serving groups sorted by pool; immutable, rebuilt whenever the list of groups changes. */
public final class GroupIndex {

  /** Groups of one pool that a daemon sends to, in a fleet with many daemons. */
  public static final int SUBSET_SIZE = 64;

  private static final int MIN_SENDERS_PER_GROUP = 16;

  /** Index without a group. */
  public static final GroupIndex EMPTY = of(List.of());

  /**
   * Groups of one pool: all, and the warm ones in the daemon's failure domain and outside of it.
   */
  record PoolGroups(List<ServingGroup> all, List<ServingGroup> near, List<ServingGroup> far) {

    static final PoolGroups NONE = new PoolGroups(List.of(), List.of(), List.of());

    int warmCount() {
      return near.size() + far.size();
    }
  }

  private final Map<GroupId, ServingGroup> byId;
  private final Map<PoolName, PoolGroups> byPool;

  private GroupIndex(Map<GroupId, ServingGroup> byId, Map<PoolName, PoolGroups> byPool) {
    this.byId = byId;
    this.byPool = byPool;
  }

  /** Index without preference of a failure domain; the list holds only groups that may get work. */
  public static GroupIndex of(List<ServingGroup> groups) {
    return build(groups, group -> true, ServingGroup::cold);
  }

  /**
   * Index of a daemon.
   *
   * @param groups groups that may get new work
   * @param isCold whether only the cold budget applies to a group
   * @param daemons size of the roster; a daemon of many sends to a subset of a large pool
   */
  public static GroupIndex of(
      List<ServingGroup> groups,
      FailureDomain near,
      Predicate<ServingGroup> isCold,
      DaemonId self,
      int daemons) {
    return build(
        subset(groups, self, daemons), group -> group.failureDomain().equals(near), isCold);
  }

  private static List<ServingGroup> subset(List<ServingGroup> groups, DaemonId self, int daemons) {
    Map<PoolName, List<GroupId>> idsByPool = new HashMap<>();
    for (ServingGroup group : groups) {
      idsByPool.computeIfAbsent(group.pool(), pool -> new ArrayList<>()).add(group.id());
    }
    Set<GroupId> kept = new HashSet<>();
    for (List<GroupId> ids : idsByPool.values()) {
      boolean isCovered = (long) daemons * SUBSET_SIZE >= (long) ids.size() * MIN_SENDERS_PER_GROUP;
      int count = isCovered ? SUBSET_SIZE : ids.size();
      kept.addAll(Rendezvous.owners("subset/" + self, ids, count));
    }
    return groups.stream().filter(group -> kept.contains(group.id())).toList();
  }

  private static GroupIndex build(
      List<ServingGroup> groups, Predicate<ServingGroup> isNear, Predicate<ServingGroup> isCold) {
    Map<GroupId, ServingGroup> byId = new HashMap<>();
    Map<PoolName, PoolGroups> byPool = new HashMap<>();
    for (ServingGroup group : groups) {
      byId.put(group.id(), group);
      PoolGroups pool =
          byPool.computeIfAbsent(
              group.pool(),
              name -> new PoolGroups(new ArrayList<>(), new ArrayList<>(), new ArrayList<>()));
      pool.all().add(group);
      if (!isCold.test(group)) {
        (isNear.test(group) ? pool.near() : pool.far()).add(group);
      }
    }
    return new GroupIndex(byId, byPool);
  }

  /** Groups of one pool, cold ones too. */
  public List<ServingGroup> groupsOf(PoolName pool) {
    return List.copyOf(poolGroups(pool).all());
  }

  /** All groups. */
  public Collection<ServingGroup> all() {
    return byId.values();
  }

  PoolGroups poolGroups(PoolName pool) {
    return byPool.getOrDefault(pool, PoolGroups.NONE);
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
