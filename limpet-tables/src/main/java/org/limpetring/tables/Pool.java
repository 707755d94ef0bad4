package org.limpetring.tables;

import java.util.List;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;

/**
 * Row of the pool table: upstreams of one supplier and the groups that they form.
 *
 * @param name name by which routes reference the pool
 * @param supplier organisation that provides the upstreams; used in reports only
 * @param adapter kind of upstream
 * @param model model that each group serves; ignored by plain services
 * @param hosts hosts that may be members, in no particular order; a host is in one pool only
 * @param port TCP port of the upstream on each host
 * @param groupSize number of hosts that hold one replica together
 * @param groupsWanted number of groups to keep serving; 0 means as many as the hosts allow
 * @param groupConcurrency concurrent requests that one warm group sustains
 * @param coldBudget concurrent requests, fleet-wide, that one cold group sustains
 * @param checksFencing whether the engines reject an order with an outdated fencing token
 */
public record Pool(
    PoolName name,
    String supplier,
    EngineAdapter adapter,
    String model,
    List<HostId> hosts,
    int port,
    int groupSize,
    int groupsWanted,
    int groupConcurrency,
    int coldBudget,
    boolean checksFencing) {

  /** Largest permitted group, in hosts. */
  public static final int MAX_GROUP_SIZE = 64;

  /** Copies the hosts; ranges are checked by {@link TableValidator}. */
  public Pool {
    hosts = List.copyOf(hosts);
  }

  /** Number of groups that the planner keeps serving. */
  public int targetGroups() {
    int maxGroups = hosts.size() / groupSize;
    return groupsWanted == 0 ? maxGroups : Math.min(groupsWanted, maxGroups);
  }
}
