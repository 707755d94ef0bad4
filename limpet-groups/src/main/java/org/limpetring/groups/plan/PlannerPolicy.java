package org.limpetring.groups.plan;

/**
 * Times and rates that the planner goes by.
 *
 * @param freshMs age up to which a report counts
 * @param patienceMs how long a silent member keeps its place
 * @param drainMinMs time between the order to drain and the earliest dissolution
 * @param drainDeadlineMs time after which a group is dissolved although requests are in progress
 * @param moveIntervalMs least time between two voluntary changes: a group reopened or stopped
 * @param shortfallTimeoutMs how long another domain must fall short of its quota before its groups
 *     are formed elsewhere
 * @param replacesLoadingMembers whether a free host with weights replaces a member that still loads
 *     them
 * @param dissolvesIncompleteGroups whether incomplete groups give hosts to others
 * @param preloadsSpares whether spares load the weights before they are needed
 */
public record PlannerPolicy(
    long freshMs,
    long lossTimeoutMs,
    long drainMinMs,
    long drainDeadlineMs,
    long moveIntervalMs,
    long shortfallTimeoutMs,
    boolean replacesLoadingMembers,
    boolean dissolvesIncompleteGroups,
    boolean preloadsSpares) {

  /** Policy of the daemon. */
  public static final PlannerPolicy DEFAULT =
      new PlannerPolicy(3_000, 1_000, 3_000, 900_000, 1_000, 10_000, true, true, true);
}
