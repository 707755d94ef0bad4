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

/**
 * Immutable index of the serving groups by id and by pool; rebuilt whenever the list of groups
 * changes.
 */
public final class GroupIndex {

  /** Number of groups of one pool that a daemon sends to, in a fleet with many daemonCount. */
  public static final int SUBSET_SIZE = 64;

  private static final int MIN_DAEMONS_PER_GROUP = 16;

  /** Index without any group. */
  public static final GroupIndex EMPTY = of(List.of());

  /**
   * Groups of one pool: all of them, the warm ones in the daemon's failure domain, and the warm
   * ones in other domains.
   */
  record PoolGroups(List<ServingGroup> all, List<ServingGroup> local, List<ServingGroup> remote) {

    static final PoolGroups NONE = new PoolGroups(List.of(), List.of(), List.of());

    int warmCount() {
      return local.size() + remote.size();
    }
  }

  private final Map<GroupId, ServingGroup> byId;
  private final Map<PoolName, PoolGroups> byPool;

  private GroupIndex(Map<GroupId, ServingGroup> byId, Map<PoolName, PoolGroups> byPool) {
    this.byId = byId;
    this.byPool = byPool;
  }

  /** Creates an index that prefers no failure domain; all {@code groups} must accept new work. */
  public static GroupIndex of(List<ServingGroup> groups) {
    return build(groups, group -> true, ServingGroup::cold);
  }

  /**
   * Creates the index of a daemon.
   *
   * @param groups groups that accept new work
   * @param isCold whether a group is cold, so that only the cold budget applies to it
   * @param daemonCount size of the roster; in a large fleet, a daemon sends only to a subset of a
   *     large pool
   */
  public static GroupIndex of(
      List<ServingGroup> groups,
      FailureDomain ownDomain,
      Predicate<ServingGroup> isCold,
      DaemonId self,
      int daemonCount) {
    return build(
        subset(groups, self, daemonCount),
        group -> group.failureDomain().equals(ownDomain),
        isCold);
  }

  private static List<ServingGroup> subset(
      List<ServingGroup> groups, DaemonId self, int daemonCount) {
    Map<PoolName, List<GroupId>> idsByPool = new HashMap<>();
    for (ServingGroup group : groups) {
      idsByPool.computeIfAbsent(group.pool(), pool -> new ArrayList<>()).add(group.id());
    }
    Set<GroupId> kept = new HashSet<>();
    for (List<GroupId> ids : idsByPool.values()) {
      boolean mayUseSubset =
          (long) daemonCount * SUBSET_SIZE >= (long) ids.size() * MIN_DAEMONS_PER_GROUP;
      int count = mayUseSubset ? SUBSET_SIZE : ids.size();
      kept.addAll(Rendezvous.owners("subset/" + self, ids, count));
    }
    return groups.stream().filter(group -> kept.contains(group.id())).toList();
  }

  private static GroupIndex build(
      List<ServingGroup> groups, Predicate<ServingGroup> isLocal, Predicate<ServingGroup> isCold) {
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
        (isLocal.test(group) ? pool.local() : pool.remote()).add(group);
      }
    }
    return new GroupIndex(byId, byPool);
  }

  /** Returns the groups of one pool, including cold ones. */
  public List<ServingGroup> groupsOf(PoolName pool) {
    return List.copyOf(poolGroups(pool).all());
  }

  /** Returns all groups. */
  public Collection<ServingGroup> all() {
    return byId.values();
  }

  PoolGroups poolGroups(PoolName pool) {
    return byPool.getOrDefault(pool, PoolGroups.NONE);
  }

  /** Returns the current state of a group, or empty if it no longer serves. */
  public Optional<ServingGroup> find(GroupId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Whether {@code chosen} still serves with the same members; checked right before dispatch. */
  public boolean stillServes(ServingGroup chosen) {
    ServingGroup current = byId.get(chosen.id());
    return current != null
        && current.epoch() == chosen.epoch()
        && current.incarnation().equals(chosen.incarnation())
        && current.cold() == chosen.cold();
  }
}
