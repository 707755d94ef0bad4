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
 * Plans the groups of one fabric domain. The first objective is the least group downtime, the
 * second the fewest stranded hosts.
 *
 * <p>The planner keeps a history (when a group was first seen draining, when the last voluntary
 * change was made) only to limit the rate of changes; a new planner starts with an empty one. Not
 * thread-safe.
 */
public final class GroupPlanner {

  private final PlannerPolicy policy;
  private final History history = new History();

  /** Creates a planner with the given policy. */
  public GroupPlanner(PlannerPolicy policy) {
    this.policy = policy;
  }

  /** Decides whether the plan must change; {@code nowMs} is on the monotonic clock. */
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
        new GroupRetirement(hosts, policy, history, nowMs).retire(draft, group, "pool was removed");
      }
    }
    pools.values().stream()
        .sorted((left, right) -> left.name().compareTo(right.name()))
        .forEach(pool -> new PoolFormation(pool, input, hosts, policy, history, nowMs).form(draft));
    renewSupersededGroups(draft, hosts);
    return draft.toDecision();
  }

  /**
   * Renews groups whose members have applied an order of the same or a higher epoch from a lost or
   * deleted plan, as such members would reject or ignore the group's orders.
   */
  private static void renewSupersededGroups(PlanDraft draft, DomainHosts hosts) {
    for (PlannedGroup group : draft.groups()) {
      boolean isSuperseded =
          group.members().stream()
              .map(hosts::lastReport)
              .anyMatch(report -> report != null && supersedes(report, group));
      if (isSuperseded) {
        draft.renew(group, "a member has applied an order with a higher fencing token");
      }
    }
  }

  private static boolean supersedes(MemberReport report, PlannedGroup group) {
    if (report.epoch() == group.epoch()) {
      return !group.id().equals(report.group());
    }
    return report.epoch() > group.epoch();
  }

  /**
   * State kept between runs to limit the rate of planned changes and to detect lasting shortfalls.
   */
  static final class History {

    private final Map<GroupId, Long> drainingSinceMs = new HashMap<>();
    private final ShortfallTracker shortfalls = new ShortfallTracker();
    private long lastChangeAtMs = Long.MIN_VALUE / 2;

    /** Tracker of other domains' quota shortfalls. */
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

    /** Time in ms since this planner first saw the group draining. */
    long drainingForMs(GroupId group, long nowMs) {
      return nowMs - drainingSinceMs.getOrDefault(group, nowMs);
    }

    /**
     * Permits one voluntary change if at least {@code minIntervalMs} have passed since the last
     * one.
     */
    boolean tryAcquireChange(long minIntervalMs, long nowMs) {
      if (nowMs - lastChangeAtMs < minIntervalMs) {
        return false;
      }
      lastChangeAtMs = nowMs;
      return true;
    }
  }
}
