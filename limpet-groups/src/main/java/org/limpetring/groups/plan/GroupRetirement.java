package org.limpetring.groups.plan;

import org.jspecify.annotations.Nullable;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.PlannedGroup.State;

/** Carries out the planned stop of a group: drains it and dissolves it once it is idle. */
final class GroupRetirement {

  private final DomainHosts hosts;
  private final PlannerPolicy policy;
  private final GroupPlanner.History history;
  private final long nowMs;

  GroupRetirement(
      DomainHosts hosts, PlannerPolicy policy, GroupPlanner.History history, long nowMs) {
    this.hosts = hosts;
    this.policy = policy;
    this.history = history;
    this.nowMs = nowMs;
  }

  /** Drains a serving group; dissolves a drained or standby group. */
  void retire(PlanDraft draft, PlannedGroup group, String reason) {
    if (group.state() == State.SERVING) {
      draft.setState(group, State.DRAINING, reason);
      return;
    }
    if (group.state() == State.STANDBY || isDrained(group)) {
      draft.remove(group, reason);
    }
  }

  /** Whether the group is idle, has lost a member or has reached the drain deadline. */
  boolean isDrained(PlannedGroup group) {
    long drainingForMs = history.drainingForMs(group.id(), nowMs);
    if (drainingForMs >= policy.drainDeadlineMs()) {
      return true;
    }
    if (group.members().stream().anyMatch(this::isLost)) {
      return true;
    }
    return drainingForMs >= policy.drainMinMs()
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
    boolean hasConfirmed = group.id().equals(report.group()) && report.epoch() == group.epoch();
    boolean isInOtherGroup = !group.id().equals(report.group());
    return (hasConfirmed || isInOtherGroup) && report.running() + report.waiting() == 0;
  }
}
