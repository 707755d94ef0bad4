package org.limpetring.groups.order;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberOrder;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.monitor.ReportRegistry;

/** Limits the number of hosts that fetch weights at the same time. */
final class LoadSlots {

  private final Map<HostId, GroupId> loadingHosts = new HashMap<>();
  private final int limit;

  LoadSlots(Plan plan, ReportRegistry reports, OrderPolicy policy, long nowMs) {
    this.limit = policy.loadsAtOnce();
    for (PlannedGroup group : plan.groups()) {
      for (HostId member : group.members()) {
        @Nullable MemberReport report = reports.status(member).freshReport(nowMs, policy.freshMs());
        if (report != null && report.group() != null && isLoading(report, group.model())) {
          loadingHosts.put(member, group.id());
        }
      }
    }
  }

  /** Acquires a slot if the order makes its host fetch weights; false if none is free. */
  boolean tryAcquire(MemberOrder order, MemberReport report) {
    boolean fetchesWeights =
        order.kind() == MemberOrder.Kind.JOIN && !report.heldModels().contains(order.model());
    if (!fetchesWeights || loadingHosts.containsKey(order.host())) {
      return true;
    }
    if (loadingHosts.size() >= limit) {
      return false;
    }
    loadingHosts.put(order.host(), order.group());
    return true;
  }

  private static boolean isLoading(MemberReport report, String model) {
    return !report.ready() && !report.heldModels().contains(model);
  }
}
