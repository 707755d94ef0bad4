package org.limpetring.groups.plan;

import org.jspecify.annotations.Nullable;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.PlannedGroup.State;

/** Decides how a planned stop of a group proceeds: drain first, dissolve once nothing runs. */
final class GroupStop {

  private final DomainHosts hosts;
  private final PlannerPolicy policy;
  private final GroupPlanner.Pace pace;
  private final long nowMs;

  GroupStop(DomainHosts hosts, PlannerPolicy policy, GroupPlanner.Pace pace, long nowMs) {
    this.hosts = hosts;
    this.policy = policy;
    this.pace = pace;
    this.nowMs = nowMs;
  }

  /** Drains a serving group, dissolves a drained one. */
  void retire(PlanDraft draft, PlannedGroup group, String reason) {
    if (group.state() == State.SERVING) {
      draft.setState(group, State.DRAINING, reason);
      return;
    }
    if (group.state() == State.STANDBY || isDone(group)) {
      draft.remove(group, reason);
    }
  }

  /** Whether nothing is left to wait for. */
  boolean isDone(PlannedGroup group) {
    long drainingMs = pace.drainingMs(group.id(), nowMs);
    if (drainingMs >= policy.drainDeadlineMs()) {
      return true;
    }
    if (group.members().stream().anyMatch(this::isLost)) {
      return true;
    }
    return drainingMs >= policy.drainMinMs()
        && group.members().stream().allMatch(member -> isIdle(group, member));
  }

  private boolean isLost(HostId member) {
    return hosts.condition(member) == HostCondition.LOST;
  }

  private boolean isIdle(PlannedGroup group, HostId member) {
    @Nullable MemberReport report = hosts.freshReport(member);
    if (report == null) {
      return false;
    }
    boolean hasObeyed = group.id().equals(report.group()) && report.epoch() == group.epoch();
    boolean isElsewhere = !group.id().equals(report.group());
    return (hasObeyed || isElsewhere) && report.running() + report.waiting() == 0;
  }
}
