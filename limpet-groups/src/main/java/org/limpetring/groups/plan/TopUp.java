package org.limpetring.groups.plan;

import java.util.HashMap;
import java.util.Map;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.PoolName;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.PlannedGroup.State;
import org.limpetring.tables.Pool;

/**
 * Decides which fabric domains cannot keep their quota, so that others take over.
 *
 * <p>The host list does not tell: the hosts of a dark domain stand in it for long. Not thread-safe.
 */
final class TopUp {

  private final Map<Subject, Long> shortSinceMs = new HashMap<>();

  /** Quotas at {@code nowMs}, with lasting shortfalls of other domains given to the rest. */
  PoolQuota quota(Pool pool, PlannerInput input, long topUpAfterMs, long nowMs) {
    PoolQuota base = new PoolQuota(pool, input.hosts(), input.marks(), Map.of());
    if (pool.groupsWanted() == 0) {
      return base;
    }
    Map<FabricDomain, Integer> limits = new HashMap<>();
    for (Plan other : input.others()) {
      Subject subject = new Subject(pool.name(), other.domain());
      int kept = keptGroups(pool, other, input);
      if (kept >= base.of(other.domain())) {
        shortSinceMs.remove(subject);
      } else if (nowMs - shortSinceMs.computeIfAbsent(subject, key -> nowMs) >= topUpAfterMs) {
        limits.put(other.domain(), kept);
      }
    }
    return limits.isEmpty() ? base : new PoolQuota(pool, input.hosts(), input.marks(), limits);
  }

  private static int keptGroups(Pool pool, Plan plan, PlannerInput input) {
    int kept = 0;
    for (PlannedGroup group : plan.groups()) {
      boolean isKept =
          group.pool().equals(pool.name())
              && group.state() == State.SERVING
              && !input.silent().contains(group.id());
      kept += isKept ? 1 : 0;
    }
    return kept;
  }

  private record Subject(PoolName pool, FabricDomain domain) {}
}
