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
 * Distributes the wanted number of groups of a pool over the fabric domains.
 *
 * <p>Deterministic: every planner computes the same quotas from the same configuration and host
 * list. Groups are assigned one at a time to the failure domain with the fewest groups, and in it
 * to the fabric domain with the fewest, as far as its hosts suffice.
 */
final class PoolQuota {

  private final Map<FabricDomain, Integer> quotas = new TreeMap<>();

  /**
   * Distributes the groups by the capacity of each domain, but not above its entry in {@code
   * limits}.
   */
  PoolQuota(
      Pool pool, List<HostEntry> hosts, ServiceMarks marks, Map<FabricDomain, Integer> limits) {
    List<Share> shares = shares(pool, hosts, marks, limits);
    if (pool.groupsWanted() == 0) {
      shares.forEach(share -> quotas.put(share.domain, share.capacity));
      return;
    }
    distribute(shares, pool.groupsWanted());
  }

  /** Number of groups that the domain has to keep serving. */
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
