package org.limpetring.groups.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.LogEvent;
import org.limpetring.groups.MemberOrder;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.monitor.GroupMetrics;
import org.limpetring.groups.monitor.ReportRegistry;

/**
 * Decides which orders make the upstreams of one fabric domain match its plan.
 *
 * <p>An upstream gets an order only while its report differs from the plan. Orders that make a host
 * fetch weights are limited by the capacity of the weight store; the group with the fewest hosts
 * left to load goes first, so that whole groups become ready one after another. Not thread-safe.
 */
public final class OrderPlanner {

  private static final Logger LOGGER = Logger.getLogger(OrderPlanner.class);

  private final Map<HostId, LastOrder> lastOrders = new HashMap<>();
  private final Map<HostId, MemberReport> confirmedReports = new HashMap<>();

  /**
   * Returns the orders due at {@code nowMs}; {@code hosts} are the upstreams of the domain's pools.
   */
  public List<MemberOrder> due(
      Plan plan, Set<HostId> hosts, ReportRegistry reports, OrderPolicy policy, long nowMs) {
    LoadSlots slots = new LoadSlots(plan, reports, policy, nowMs);
    List<MemberOrder> due = new ArrayList<>();
    Set<HostId> planned = new HashSet<>();
    for (PlannedGroup group : byRemainingLoads(plan, reports)) {
      planned.addAll(group.members());
      addGroupOrders(group, reports, policy, slots, nowMs, due);
    }
    for (HostId host : hosts) {
      if (!planned.contains(host)) {
        addReleaseOrder(plan, host, reports, policy, nowMs, due);
      }
    }
    return due;
  }

  /** Records that an order was sent, regardless of its result. */
  public void onSent(MemberOrder order, long nowMs) {
    lastOrders.put(order.host(), new LastOrder(order.group(), order.epoch(), order.kind(), nowMs));
  }

  private void addGroupOrders(
      PlannedGroup group,
      ReportRegistry reports,
      OrderPolicy policy,
      LoadSlots slots,
      long nowMs,
      List<MemberOrder> due) {
    for (int rank = 0; rank < group.members().size(); rank++) {
      HostId host = group.members().get(rank);
      @Nullable MemberReport report = reports.status(host).freshReport(nowMs, policy.freshMs());
      if (report == null) {
        continue;
      }
      if (group.id().equals(report.group()) && report.epoch() == group.epoch()) {
        confirmedReports.put(host, report);
        continue;
      }
      detectStaleOrder(group, report);
      MemberOrder order =
          new MemberOrder(
              group.state().order(),
              host,
              group.id(),
              group.epoch(),
              group.model(),
              rank,
              group.members());
      if (isDue(order, policy, nowMs) && slots.tryAcquire(order, report)) {
        due.add(order);
      }
    }
  }

  private void addReleaseOrder(
      Plan plan,
      HostId host,
      ReportRegistry reports,
      OrderPolicy policy,
      long nowMs,
      List<MemberOrder> due) {
    @Nullable MemberReport report = reports.status(host).freshReport(nowMs, policy.freshMs());
    if (report == null || report.group() == null) {
      return;
    }
    MemberOrder order =
        new MemberOrder(
            MemberOrder.Kind.RELEASE, host, report.group(), plan.epoch(), "", 0, List.of());
    if (isDue(order, policy, nowMs)) {
      due.add(order);
    }
  }

  private boolean isDue(MemberOrder order, OrderPolicy policy, long nowMs) {
    @Nullable LastOrder last = lastOrders.get(order.host());
    return last == null
        || !last.group().equals(order.group())
        || last.epoch() != order.epoch()
        || last.kind() != order.kind()
        || nowMs - last.sentMs() >= policy.retryMs();
  }

  /**
   * Reports a member of the same incarnation that had confirmed the planned epoch and now reports a
   * lower one, so it has applied a stale order.
   */
  private void detectStaleOrder(PlannedGroup group, MemberReport report) {
    @Nullable MemberReport previous = confirmedReports.remove(report.host());
    boolean obeyedStaleOrder =
        previous != null
            && previous.epoch() == group.epoch()
            && previous.incarnation().equals(report.incarnation())
            && report.epoch() < group.epoch();
    if (obeyedStaleOrder) {
      GroupMetrics.STALE_ORDERS.inc();
      LogEvent.STALE_ORDER_FOUND.log(
          LOGGER, report.host(), report.group() + " at epoch " + report.epoch());
    }
  }

  private static List<PlannedGroup> byRemainingLoads(Plan plan, ReportRegistry reports) {
    return plan.groups().stream()
        .sorted(
            Comparator.comparing(
                    (PlannedGroup group) -> group.state() == PlannedGroup.State.STANDBY)
                .thenComparingLong(group -> remainingLoads(group, reports))
                .thenComparing(PlannedGroup::id))
        .toList();
  }

  private static long remainingLoads(PlannedGroup group, ReportRegistry reports) {
    return group.members().stream()
        .map(member -> reports.status(member).report())
        .filter(report -> report == null || !report.heldModels().contains(group.model()))
        .count();
  }

  private record LastOrder(GroupId group, long epoch, MemberOrder.Kind kind, long sentMs) {}
}
