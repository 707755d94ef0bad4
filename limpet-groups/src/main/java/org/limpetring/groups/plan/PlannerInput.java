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
 * What the planner of one fabric domain decides from.
 *
 * @param plan plan in force, of the domain to plan
 * @param others plans of the other fabric domains
 * @param hosts the platform's host list, which lags
 * @param reports newest status of the upstreams in the domain
 * @param serving groups of all domains that serve by the observers' word
 * @param silent groups of all domains with a member that no observer reaches
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
