package org.limpetring.groups.control;

import java.util.List;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.Invariant;
import org.limpetring.groups.Plan;

/** Latest known plan of each fabric domain; a plan is never replaced by an older one. */
final class PlanCache {

  private final TreeMap<FabricDomain, StoredPlan> plans = new TreeMap<>();

  /** Stores a plan unless the same or a newer version is known. */
  synchronized void offer(StoredPlan plan) {
    @Nullable StoredPlan known = plans.get(plan.plan().domain());
    if (known != null && known.version() >= plan.version()) {
      return;
    }
    if (known != null) {
      Invariant.EPOCH_GROWS.check(
          plan.plan().epoch() > known.plan().epoch(),
          "plan of " + plan.plan().domain() + " at version " + plan.version());
    }
    plans.put(plan.plan().domain(), plan);
  }

  /** Latest known plan of one domain, or null if none is known. */
  synchronized @Nullable StoredPlan get(FabricDomain domain) {
    return plans.get(domain);
  }

  /** All known plans, sorted by domain. */
  synchronized List<Plan> all() {
    return plans.values().stream().map(StoredPlan::plan).toList();
  }
}
