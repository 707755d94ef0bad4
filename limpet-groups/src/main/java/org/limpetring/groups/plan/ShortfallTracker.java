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
 * Tracks fabric domains that stay below their quota, so that other domains take over their groups.
 *
 * <p>The host list is no evidence for this, because it still contains the hosts of an unreachable
 * domain for a long time. Not thread-safe.
 */
final class ShortfallTracker {

  private final Map<PoolDomain, Long> belowQuotaSinceMs = new HashMap<>();

  /**
   * Quotas at {@code nowMs}; groups that other domains have failed to form for {@code
   * shortfallTimeoutMs} are reassigned to the remaining domains.
   */
  PoolQuota quota(Pool pool, PlannerInput input, long shortfallTimeoutMs, long nowMs) {
    PoolQuota base = new PoolQuota(pool, input.hosts(), input.marks(), Map.of());
    if (pool.groupsWanted() == 0) {
      return base;
    }
    Map<FabricDomain, Integer> limits = new HashMap<>();
    for (Plan other : input.others()) {
      PoolDomain poolDomain = new PoolDomain(pool.name(), other.domain());
      int intact = intactGroups(pool, other, input);
      if (intact >= base.of(other.domain())) {
        belowQuotaSinceMs.remove(poolDomain);
      } else if (nowMs - belowQuotaSinceMs.computeIfAbsent(poolDomain, key -> nowMs)
          >= shortfallTimeoutMs) {
        limits.put(other.domain(), intact);
      }
    }
    return limits.isEmpty() ? base : new PoolQuota(pool, input.hosts(), input.marks(), limits);
  }

  private static int intactGroups(Pool pool, Plan plan, PlannerInput input) {
    int intact = 0;
    for (PlannedGroup group : plan.groups()) {
      boolean isIntact =
          group.pool().equals(pool.name())
              && group.state() == State.SERVING
              && !input.silent().contains(group.id());
      intact += isIntact ? 1 : 0;
    }
    return intact;
  }

  private record PoolDomain(PoolName pool, FabricDomain domain) {}
}
