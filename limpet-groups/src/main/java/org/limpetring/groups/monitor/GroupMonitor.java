package org.limpetring.groups.monitor;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.Invariant;
import org.limpetring.base.LogEvent;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.ReportResult;
import org.limpetring.groups.ServingGroup;
import org.limpetring.groups.monitor.ObservedGroup.Verdict;

/**
 * Decides which of the groups that this daemon observes are whole.
 *
 * <p>A group is whole while each member has confirmed the group and its epoch in a fresh report
 * that was requested after the last order that this daemon sent to the member. A failed poll closes
 * the group at once. If the incarnation of a member changes, the group is closed until every member
 * has confirmed it again. Not thread-safe.
 */
public final class GroupMonitor {

  private static final Logger LOGGER = Logger.getLogger(GroupMonitor.class);

  private final ReportRegistry registry = new ReportRegistry();
  private final GroupCheck check;
  private final Map<HostId, Long> lastOrderMs = new HashMap<>();
  private final Map<GroupId, History> histories = new HashMap<>();

  /** Creates a monitor that accepts reports requested at most {@code freshMs} ago. */
  public GroupMonitor(long freshMs) {
    this.check = new GroupCheck(registry, freshMs);
  }

  /** Processes the result of a poll that was sent at {@code requestedAtMs}. */
  public void onReport(HostId host, ReportResult result, long requestedAtMs) {
    registry.onResult(host, result, requestedAtMs);
  }

  /**
   * Records that an order was sent to {@code host} at {@code sentMs}; reports requested earlier no
   * longer count as confirmation.
   */
  public void onOrder(HostId host, long sentMs) {
    lastOrderMs.merge(host, sentMs, Math::max);
  }

  /** Latest status of each upstream. */
  public ReportRegistry registry() {
    return registry;
  }

  /** Determines the state of {@code targets} and removes the history of all other groups. */
  public List<ObservedGroup> observe(List<Target> targets, long nowMs) {
    Set<GroupId> ids = new HashSet<>();
    List<ObservedGroup> observed = new ArrayList<>();
    for (Target target : targets) {
      ids.add(target.group().id());
      observed.add(observe(target, nowMs));
    }
    histories.keySet().retainAll(ids);
    return observed;
  }

  private ObservedGroup observe(Target target, long nowMs) {
    History history = histories.computeIfAbsent(target.group().id(), id -> new History());
    GroupCheck.Finding finding = finding(target, history, nowMs);
    boolean isWhole = finding.kind() == GroupCheck.Kind.WHOLE;
    if (isWhole) {
      Invariant.GROUP_WHOLE.check(
          check.allConfirm(target.group(), target.takesOrders(), nowMs),
          target.group().id() + " judged whole at " + nowMs);
      Invariant.NO_WORK_WHEN_OUT.check(!target.outOfService(), target.group().id() + " is out");
    }
    history.recordState(target.group(), isWhole, finding.reason());
    Verdict verdict =
        switch (finding.kind()) {
          case WHOLE -> Verdict.WHOLE;
          case SILENT -> Verdict.SILENT;
          case CONTRADICTED -> Verdict.CONTRADICTED;
        };
    return new ObservedGroup(
        servingGroup(target), verdict, ageMs(target.group(), nowMs), finding.reason());
  }

  private GroupCheck.Finding finding(Target target, History history, long nowMs) {
    PlannedGroup group = target.group();
    if (target.outOfService()) {
      return contradicted("out of service or leaving");
    }
    if (group.state() != PlannedGroup.State.SERVING) {
      return contradicted(group.state() + ", not serving");
    }
    GroupCheck.Finding finding = check.check(group, target.takesOrders(), nowMs);
    if (finding.kind() != GroupCheck.Kind.WHOLE) {
      return finding;
    }
    history.recordIncarnation(group.epoch(), incarnation(check.reports(group)), nowMs);
    return checkConfirmed(group, history.confirmAfterMs);
  }

  private GroupCheck.Finding checkConfirmed(PlannedGroup group, long confirmAfterMs) {
    for (HostId member : group.members()) {
      long notBeforeMs = Math.max(confirmAfterMs, lastOrderMs.getOrDefault(member, Long.MIN_VALUE));
      if (registry.status(member).requestedAtMs() < notBeforeMs) {
        return contradicted(member + ": not confirmed since its last order or restart");
      }
    }
    return GroupCheck.Finding.WHOLE;
  }

  private ServingGroup servingGroup(Target target) {
    PlannedGroup group = target.group();
    List<MemberReport> reports = check.reports(group);
    return new ServingGroup(
        group.id(),
        group.pool(),
        group.epoch(),
        group.members(),
        target.entryAddress(),
        target.failureDomain(),
        incarnation(reports),
        reports.stream().anyMatch(report -> !report.warm()),
        reportedLoad(group.entry()));
  }

  private int reportedLoad(HostId entry) {
    @Nullable MemberReport report = registry.status(entry).report();
    return report == null ? 0 : report.running() + report.waiting();
  }

  private long ageMs(PlannedGroup group, long nowMs) {
    long oldestMs = nowMs;
    for (HostId member : group.members()) {
      oldestMs = Math.min(oldestMs, registry.status(member).requestedAtMs());
    }
    return nowMs - oldestMs;
  }

  private static String incarnation(List<MemberReport> reports) {
    return reports.stream().map(MemberReport::incarnation).collect(Collectors.joining("+"));
  }

  private static GroupCheck.Finding contradicted(String reason) {
    return new GroupCheck.Finding(GroupCheck.Kind.CONTRADICTED, reason);
  }

  /** State that the monitor keeps for one group. */
  private static final class History {

    private long epoch = -1;
    private String incarnation = "";
    private long confirmAfterMs = Long.MIN_VALUE;
    private boolean wasWhole;

    void recordIncarnation(long newEpoch, String newIncarnation, long nowMs) {
      if (newEpoch == epoch && !newIncarnation.equals(incarnation)) {
        confirmAfterMs = nowMs;
      }
      epoch = newEpoch;
      incarnation = newIncarnation;
    }

    void recordState(PlannedGroup group, boolean isWhole, String reason) {
      if (isWhole && !wasWhole) {
        LogEvent.GROUP_OPENED.log(LOGGER, group.id(), group.epoch());
      }
      if (!isWhole && wasWhole) {
        LogEvent.GROUP_CLOSED.log(LOGGER, group.id(), reason);
        GroupMetrics.CLOSURES.inc();
      }
      wasWhole = isWhole;
    }
  }
}
