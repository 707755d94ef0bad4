package org.limpetring.tables;

import java.util.List;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;

/**
 * Row of the pool table: which upstreams of which supplier form which groups.
 *
 * @param name joins the pool to routes
 * @param supplier organisation that provides the upstreams; for reports only
 * @param adapter kind of upstream
 * @param model model that each group serves; ignored by plain services
 * @param hosts hosts that may be members, in no order; a host stands in one pool only
 * @param port TCP port of the upstream on each host
 * @param groupSize hosts that hold one replica together
 * @param groupsWanted groups to keep serving; 0 means as many as the hosts allow
 * @param groupConcurrency requests at once that one warm group bears
 * @param coldBudget requests at once, fleet-wide, that one cold group bears
 * @param checksFencing whether the engines refuse an order with an old fencing number
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

  /** Copies the hosts; ranges are checked by {@link TableChecks}. */
  public Pool {
    hosts = List.copyOf(hosts);
  }

  /** Groups that planners keep serving. */
  public int targetGroups() {
    int possible = hosts.size() / groupSize;
    return groupsWanted == 0 ? possible : Math.min(groupsWanted, possible);
  }
}
