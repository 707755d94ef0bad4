package org.limpetring.groups.plan;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.monitor.MemberStatus;
import org.limpetring.store.HostEntry;

/** Hosts of one fabric domain and their conditions during one planner run. */
final class DomainHosts {

  private final PlannerInput input;
  private final PlannerPolicy policy;
  private final long nowMs;
  private final Map<HostId, HostEntry> entries = new HashMap<>();
  private final Map<HostId, HostCondition> conditions = new HashMap<>();

  DomainHosts(PlannerInput input, PlannerPolicy policy, long nowMs) {
    this.input = input;
    this.policy = policy;
    this.nowMs = nowMs;
    for (HostEntry entry : input.hosts()) {
      if (entry.fabricDomain().equals(input.plan().domain())) {
        entries.put(entry.host(), entry);
      }
    }
  }

  /** Hosts of this domain according to the host list. */
  Set<HostId> all() {
    return entries.keySet();
  }

  HostCondition condition(HostId host) {
    return conditions.computeIfAbsent(host, this::evaluate);
  }

  private HostCondition evaluate(HostId host) {
    @Nullable HostEntry entry = entries.get(host);
    if (entry != null && input.marks().outDomains().contains(entry.failureDomain())) {
      return HostCondition.OUT;
    }
    MemberStatus status = input.reports().status(host);
    if (status.unansweredMs(nowMs) >= policy.lossTimeoutMs()) {
      return HostCondition.LOST;
    }
    if (input.marks().outHosts().contains(host) || (entry != null && entry.leaving())) {
      return HostCondition.RETIRING;
    }
    @Nullable MemberReport report = freshReport(host);
    if (report == null) {
      return HostCondition.PAUSED;
    }
    return report.leaving() ? HostCondition.RETIRING : HostCondition.USABLE;
  }

  /** Whether the host has the weights of {@code model} according to its last report. */
  boolean hasWeights(HostId host, String model) {
    @Nullable MemberReport report = input.reports().status(host).report();
    return report != null && report.heldModels().contains(model);
  }

  /** Last report if it is fresh, otherwise null. */
  @Nullable MemberReport freshReport(HostId host) {
    return input.reports().status(host).freshReport(nowMs, policy.freshMs());
  }

  /** Last report, fresh or not; null if there is none. */
  @Nullable MemberReport lastReport(HostId host) {
    return input.reports().status(host).report();
  }

  /** Highest fencing token that any upstream of the domain has reported. */
  long highestEpoch() {
    long highest = 0;
    for (HostId host : entries.keySet()) {
      @Nullable MemberReport report = lastReport(host);
      highest = report == null ? highest : Math.max(highest, report.epoch());
    }
    return highest;
  }
}
