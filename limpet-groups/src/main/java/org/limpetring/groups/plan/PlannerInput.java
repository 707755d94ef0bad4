package org.limpetring.groups.plan;

import java.util.List;
import java.util.Set;
import org.limpetring.base.GroupId;
import org.limpetring.groups.Plan;
import org.limpetring.groups.monitor.ReportRegistry;
import org.limpetring.store.HostEntry;
import org.limpetring.tables.PoolTable;
import org.limpetring.tables.ServiceMarks;

/**
 * Input of one planner run for a fabric domain.
 *
 * @param plan current plan of the domain
 * @param others plans of the other fabric domains
 * @param hosts the platform's host list, which may be out of date
 * @param reports latest status of the upstreams in the domain
 * @param serving groups of all domains that serve according to the observers
 * @param silent groups of all domains with a member that no observer can reach
 */
public record PlannerInput(
    Plan plan,
    List<Plan> others,
    PoolTable pools,
    ServiceMarks marks,
    List<HostEntry> hosts,
    ReportRegistry reports,
    Set<GroupId> serving,
    Set<GroupId> silent) {

  /** Copies the collections. */
  public PlannerInput {
    others = List.copyOf(others);
    hosts = List.copyOf(hosts);
    serving = Set.copyOf(serving);
    silent = Set.copyOf(silent);
  }
}
