package org.limpetring.groups.monitor;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.PlannedGroup;

/** Decides from the newest reports whether a group is whole. */
final class GroupCheck {

  private final ReportRegistry registry;
  private final long freshMs;

  GroupCheck(ReportRegistry registry, long freshMs) {
    this.registry = registry;
    this.freshMs = freshMs;
  }

  /** The strongest finding: a contradiction goes before silence. */
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

  /** Whether every member has lately confirmed the group; the asserted form of the promise. */
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

  /** Reports of all members; call only for a whole group. */
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

  /** What was found, weakest first. */
  enum Kind {
    WHOLE,
    SILENT,
    CONTRADICTED
  }

  /** Finding with its reason in words. */
  record Finding(Kind kind, String reason) {
    static final Finding WHOLE = new Finding(Kind.WHOLE, "");
  }
}
