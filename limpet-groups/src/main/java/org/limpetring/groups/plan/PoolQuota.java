package org.limpetring.groups.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;
import org.limpetring.store.HostEntry;
import org.limpetring.tables.Pool;
import org.limpetring.tables.ServiceMarks;

/**
 * Splits the groups that a pool wants between fabric domains.
 *
 * <p>Every planner computes the same split from the same configuration and host list: one group at
 * a time goes to the failure domain, then the fabric domain, that has fewest, as far as its hosts
 * allow.
 */
final class PoolQuota {

  private final Map<FabricDomain, Integer> quotas = new TreeMap<>();

  /** Splits by what the hosts of each domain allow, but not above its limit where it has one. */
  PoolQuota(
      Pool pool, List<HostEntry> hosts, ServiceMarks marks, Map<FabricDomain, Integer> limits) {
    List<Share> shares = shares(pool, hosts, marks, limits);
    if (pool.groupsWanted() == 0) {
      shares.forEach(share -> quotas.put(share.domain, share.capacity));
      return;
    }
    distribute(shares, pool.groupsWanted());
  }

  /** Groups that the domain shall keep serving. */
  int of(FabricDomain domain) {
    return quotas.getOrDefault(domain, 0);
  }

  /** Domains with a quota, sorted by name. */
  Set<FabricDomain> domains() {
    return quotas.keySet();
  }

  private void distribute(List<Share> shares, int wanted) {
    Map<FailureDomain, Integer> perFailureDomain = new HashMap<>();
    for (int assigned = 0; assigned < wanted; assigned++) {
      Share next =
          shares.stream()
              .filter(share -> share.assigned < share.capacity)
              .min(
                  Comparator.comparingInt(
                          (Share share) -> perFailureDomain.getOrDefault(share.failureDomain, 0))
                      .thenComparingInt(share -> share.assigned)
                      .thenComparing(share -> share.domain))
              .orElse(null);
      if (next == null) {
        break;
      }
      next.assigned++;
      perFailureDomain.merge(next.failureDomain, 1, Integer::sum);
    }
    shares.forEach(share -> quotas.put(share.domain, share.assigned));
  }

  private static List<Share> shares(
      Pool pool, List<HostEntry> hosts, ServiceMarks marks, Map<FabricDomain, Integer> limits) {
    Set<HostId> candidates = new HashSet<>(pool.hosts());
    Map<FabricDomain, List<HostEntry>> byDomain = new TreeMap<>();
    for (HostEntry entry : hosts) {
      boolean isExcluded = entry.leaving() || marks.isOut(entry.host(), entry.failureDomain());
      if (candidates.contains(entry.host()) && !isExcluded) {
        byDomain.computeIfAbsent(entry.fabricDomain(), key -> new ArrayList<>()).add(entry);
      }
    }
    List<Share> shares = new ArrayList<>();
    byDomain.forEach(
        (domain, entries) -> {
          int capacity = entries.size() / pool.groupSize();
          int limit = limits.getOrDefault(domain, capacity);
          shares.add(new Share(domain, entries.get(0).failureDomain(), Math.min(capacity, limit)));
        });
    return shares;
  }

  private static final class Share {
    private final FabricDomain domain;
    private final FailureDomain failureDomain;
    private final int capacity;
    private int assigned;

    Share(FabricDomain domain, FailureDomain failureDomain, int capacity) {
      this.domain = domain;
      this.failureDomain = failureDomain;
      this.capacity = capacity;
    }
  }
}
