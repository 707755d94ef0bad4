package org.limpetring.groups.monitor;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.PlannedGroup;

/** Decides from the latest reports whether a group is whole. */
final class GroupCheck {

  private final ReportRegistry registry;
  private final long freshMs;

  GroupCheck(ReportRegistry registry, long freshMs) {
    this.registry = registry;
    this.freshMs = freshMs;
  }

  /** Returns the most severe finding; a contradiction takes precedence over a missing report. */
  Finding check(PlannedGroup group, boolean takesOrders, long nowMs) {
    Finding finding = Finding.WHOLE;
    for (HostId member : group.members()) {
      Finding next = checkMember(group, member, takesOrders, nowMs);
      if (next.kind().compareTo(finding.kind()) > 0) {
        finding = next;
      }
    }
    return finding;
  }

  /**
   * Whether every member has a fresh report that confirms the group; used to assert the invariant.
   */
  boolean allConfirm(PlannedGroup group, boolean takesOrders, long nowMs) {
    for (HostId member : group.members()) {
      @Nullable MemberReport report = registry.status(member).freshReport(nowMs, freshMs);
      if (report == null || !report.ready() || report.leaving()) {
        return false;
      }
      if (takesOrders && (!group.id().equals(report.group()) || report.epoch() != group.epoch())) {
        return false;
      }
    }
    return true;
  }

  /** Latest reports of the members; members without a report are left out. */
  List<MemberReport> reports(PlannedGroup group) {
    return group.members().stream()
        .map(member -> registry.status(member).report())
        .filter(report -> report != null)
        .toList();
  }

  private Finding checkMember(PlannedGroup group, HostId member, boolean takesOrders, long nowMs) {
    MemberStatus status = registry.status(member);
    @Nullable MemberReport report = status.freshReport(nowMs, freshMs);
    if (report == null) {
      String reason = status.failureReason().isEmpty() ? "no fresh report" : status.failureReason();
      return new Finding(Kind.SILENT, member + ": " + reason);
    }
    if (takesOrders && !group.id().equals(report.group())) {
      return new Finding(Kind.CONTRADICTED, member + ": belongs to " + report.group());
    }
    if (takesOrders && report.epoch() != group.epoch()) {
      return new Finding(
          Kind.CONTRADICTED, member + ": epoch " + report.epoch() + ", not " + group.epoch());
    }
    if (report.leaving()) {
      return new Finding(Kind.CONTRADICTED, member + ": leaving");
    }
    if (!report.ready()) {
      return new Finding(Kind.CONTRADICTED, member + ": not ready");
    }
    return Finding.WHOLE;
  }

  /** Kind of finding, least severe first. */
  enum Kind {
    WHOLE,
    SILENT,
    CONTRADICTED
  }

  /** Finding with a reason for logs and operators. */
  record Finding(Kind kind, String reason) {
    static final Finding WHOLE = new Finding(Kind.WHOLE, "");
  }
}
