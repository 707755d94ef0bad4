package org.limpetring.groups.plan;

/**
 * Timeouts and options of the planner.
 *
 * @param freshMs maximum age of a report
 * @param lossTimeoutMs time without a response after which a member counts as lost
 * @param drainMinMs minimum time between draining a group and dissolving it
 * @param drainDeadlineMs time after which a draining group is dissolved even if requests are in
 *     progress
 * @param changeIntervalMs minimum time between two voluntary changes, that is, reopening or
 *     stopping a group
 * @param shortfallTimeoutMs how long another domain must stay below its quota before its groups are
 *     formed elsewhere
 * @param replacesLoadingMembers whether a free host that has the weights replaces a member that is
 *     still loading them
 * @param dissolvesIncompleteGroups whether an incomplete group may be dissolved to complete another
 *     one
 * @param preloadsSpares whether spares load the weights in advance
 */
public record PlannerPolicy(
    long freshMs,
    long lossTimeoutMs,
    long drainMinMs,
    long drainDeadlineMs,
    long changeIntervalMs,
    long shortfallTimeoutMs,
    boolean replacesLoadingMembers,
    boolean dissolvesIncompleteGroups,
    boolean preloadsSpares) {

  /** Default policy of the daemon. */
  public static final PlannerPolicy DEFAULT =
      new PlannerPolicy(3_000, 1_000, 3_000, 900_000, 1_000, 10_000, true, true, true);
}
