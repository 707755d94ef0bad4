package org.limpetring.groups.plan;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.limpetring.base.GroupId;
import org.limpetring.base.PoolName;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.PlannedGroup.State;
import org.limpetring.tables.Pool;

/**
 * Decides the groups of one fabric domain: least downtime first, fewest stranded hosts second.
 *
 * <p>Its memory (when a group was first seen draining, when it last moved one) is a matter of pace
 * only; a new planner starts without it. Not thread-safe.
 */
public final class GroupPlanner {

  private final PlannerPolicy policy;
  private final History history = new History();

  /** Plans by {@code policy}. */
  public GroupPlanner(PlannerPolicy policy) {
    this.policy = policy;
  }

  /** Decides at {@code nowMs} on the monotonic clock whether the plan must change. */
  public PlannerDecision plan(PlannerInput input, long nowMs) {
    DomainHosts hosts = new DomainHosts(input, policy, nowMs);
    long nextEpoch = Math.max(input.plan().epoch(), hosts.highestEpoch()) + 1;
    PlanDraft draft = new PlanDraft(input.plan(), nextEpoch);
    history.recordDraining(input.plan().groups(), nowMs);
    Map<PoolName, Pool> pools =
        input.pools().pools().stream()
            .filter(pool -> pool.adapter().takesOrders())
            .collect(Collectors.toMap(Pool::name, pool -> pool));
    for (PlannedGroup group : input.plan().groups()) {
      if (!pools.containsKey(group.pool())) {
        new GroupRetirement(hosts, policy, history, nowMs).retire(draft, group, "pool is gone");
      }
    }
    pools.values().stream()
        .sorted((left, right) -> left.name().compareTo(right.name()))
        .forEach(pool -> new PoolFormation(pool, input, hosts, policy, history, nowMs).form(draft));
    renewSupersededGroups(draft, hosts);
    return draft.toDecision();
  }

  /** A member may have obeyed a number not below its group's, from a lost or deleted plan. */
  private static void renewSupersededGroups(PlanDraft draft, DomainHosts hosts) {
    for (PlannedGroup group : draft.groups()) {
      boolean isSuperseded =
          group.members().stream()
              .map(hosts::lastReport)
              .anyMatch(report -> report != null && supersedes(report, group));
      if (isSuperseded) {
        draft.renew(group, "a member has obeyed a higher fencing number");
      }
    }
  }

  private static boolean supersedes(MemberReport report, PlannedGroup group) {
    if (report.epoch() == group.epoch()) {
      return !group.id().equals(report.group());
    }
    return report.epoch() > group.epoch();
  }

  /** Memory that bounds the pace of planned changes. */
  static final class History {

    private final Map<GroupId, Long> drainingSinceMs = new HashMap<>();
    private final ShortfallTracker shortfalls = new ShortfallTracker();
    private long lastMoveAtMs = Long.MIN_VALUE / 2;

    /** Memory of other domains' shortfalls. */
    ShortfallTracker shortfalls() {
      return shortfalls;
    }

    void recordDraining(Iterable<PlannedGroup> groups, long nowMs) {
      Map<GroupId, Long> current = new HashMap<>();
      for (PlannedGroup group : groups) {
        if (group.state() == State.DRAINING) {
          current.put(group.id(), drainingSinceMs.getOrDefault(group.id(), nowMs));
        }
      }
      drainingSinceMs.clear();
      drainingSinceMs.putAll(current);
    }

    /** How long the group has been draining, as far as this planner knows, in ms. */
    long drainingForMs(GroupId group, long nowMs) {
      return nowMs - drainingSinceMs.getOrDefault(group, nowMs);
    }

    /** Takes the right to one voluntary change, if the last lies far enough back. */
    boolean tryAcquireMove(long pauseMs, long nowMs) {
      if (nowMs - lastMoveAtMs < pauseMs) {
        return false;
      }
      lastMoveAtMs = nowMs;
      return true;
    }
  }
}
