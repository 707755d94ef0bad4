package org.limpetring.groups.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.monitor.MergedGroup;
import org.limpetring.groups.monitor.Target;
import org.limpetring.store.HostEntry;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.Pool;

/**
 * Combines the configuration with the host list; keeps hosts that have disappeared from the list.
 */
final class Topology {

  private final Map<HostId, HostEntry> knownHosts = new HashMap<>();
  private Map<HostId, Pool> poolsByHost = new LinkedHashMap<>();
  private AcceptedConfig config = AcceptedConfig.NONE;

  /** Updates the configuration and the host list. */
  void update(AcceptedConfig newConfig, List<HostEntry> hosts) {
    for (HostEntry entry : hosts) {
      knownHosts.put(entry.host(), entry);
    }
    if (newConfig.generation() == config.generation()) {
      return;
    }
    config = newConfig;
    Map<HostId, Pool> pools = new LinkedHashMap<>();
    for (Pool pool : newConfig.pools().pools()) {
      pool.hosts().forEach(host -> pools.put(host, pool));
    }
    poolsByHost = pools;
  }

  /**
   * {@code ip:port} of the upstream on {@code host}, or null if the host is in no pool or was never
   * listed.
   */
  @Nullable String address(HostId host) {
    @Nullable HostEntry entry = knownHosts.get(host);
    @Nullable Pool pool = poolsByHost.get(host);
    return entry == null || pool == null ? null : entry.address() + ":" + pool.port();
  }

  /** Hosts of one fabric domain in pools whose engines take orders. */
  List<HostId> controllableHosts(FabricDomain domain) {
    List<HostId> hosts = new ArrayList<>();
    poolsByHost.forEach(
        (host, pool) -> {
          @Nullable HostEntry entry = knownHosts.get(host);
          if (pool.adapter().takesOrders()
              && entry != null
              && entry.fabricDomain().equals(domain)) {
            hosts.add(host);
          }
        });
    return hosts;
  }

  /** Fabric domains with at least one host in a pool whose engines take orders. */
  Set<FabricDomain> domains() {
    Set<FabricDomain> domains = new TreeSet<>();
    poolsByHost.forEach(
        (host, pool) -> {
          @Nullable HostEntry entry = knownHosts.get(host);
          if (pool.adapter().takesOrders() && entry != null) {
            domains.add(entry.fabricDomain());
          }
        });
    return domains;
  }

  /** Whether the engine on {@code host} rejects stale fencing tokens. */
  boolean checksFencing(HostId host) {
    @Nullable Pool pool = poolsByHost.get(host);
    return pool != null && pool.checksFencing();
  }

  /**
   * All groups to observe: those of the plans except standby groups, and one for each host of a
   * plain service.
   */
  List<Target> targets(List<Plan> plans) {
    List<Target> targets = new ArrayList<>();
    for (Plan plan : plans) {
      for (PlannedGroup group : plan.groups()) {
        if (group.state() != PlannedGroup.State.STANDBY) {
          addTarget(group, true, targets);
        }
      }
    }
    poolsByHost.forEach(
        (host, pool) -> {
          if (!pool.adapter().takesOrders()) {
            addTarget(plainGroup(host, pool), false, targets);
          }
        });
    return targets;
  }

  /**
   * Closes every group with a member that is leaving or, according to this daemon's configuration,
   * out of service.
   */
  List<MergedGroup> closeOutOfService(List<MergedGroup> merged) {
    return merged.stream()
        .map(
            group ->
                isOutOfService(group.group().members())
                    ? MergedGroup.closed(group.group(), "out of service or leaving")
                    : group)
        .toList();
  }

  private void addTarget(PlannedGroup group, boolean takesOrders, List<Target> targets) {
    @Nullable HostEntry entry = knownHosts.get(group.entry());
    @Nullable String address = address(group.entry());
    if (entry != null && address != null) {
      targets.add(
          new Target(
              group, takesOrders, address, entry.failureDomain(), isOutOfService(group.members())));
    }
  }

  private boolean isOutOfService(List<HostId> members) {
    for (HostId member : members) {
      @Nullable HostEntry entry = knownHosts.get(member);
      if (entry != null
          && (entry.leaving() || config.marks().isOut(member, entry.failureDomain()))) {
        return true;
      }
    }
    return false;
  }

  private static PlannedGroup plainGroup(HostId host, Pool pool) {
    return new PlannedGroup(
        new GroupId(host.value()),
        pool.name(),
        pool.model(),
        0,
        PlannedGroup.State.SERVING,
        List.of(host));
  }
}
