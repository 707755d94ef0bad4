package org.limpetring.groups.monitor;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.HostId;
import org.limpetring.groups.ReportResult;

/** Keeps the newest status of each upstream; not thread-safe. */
public final class ReportBook {

  private final Map<HostId, MemberStatus> statuses = new HashMap<>();

  /** Takes the result of an ask that was sent at {@code askedMs}; older asks are ignored. */
  public void onResult(HostId host, ReportResult result, long askedMs) {
    MemberStatus before = status(host);
    if (askedMs < Math.max(before.askedMs(), before.missingSinceMs())) {
      return;
    }
    statuses.put(host, next(before, result, askedMs));
  }

  /** Status of {@code host}. */
  public MemberStatus status(HostId host) {
    @Nullable MemberStatus known = statuses.get(host);
    return known == null ? MemberStatus.unknown(host) : known;
  }

  /** Forgets every upstream that is not in {@code hosts}. */
  public void retain(Set<HostId> hosts) {
    statuses.keySet().retainAll(hosts);
  }

  /** Copy that further results do not change. */
  public ReportBook copy() {
    ReportBook copy = new ReportBook();
    copy.statuses.putAll(statuses);
    return copy;
  }

  private static MemberStatus next(MemberStatus before, ReportResult result, long askedMs) {
    HostId host = before.host();
    if (result instanceof ReportResult.Reported reported) {
      if (reported.report().host().equals(host)) {
        return new MemberStatus(host, reported.report(), askedMs, MemberStatus.PRESENT, "");
      }
      return missing(before, "answered as " + reported.report().host(), askedMs);
    }
    return missing(before, ((ReportResult.Missing) result).reason(), askedMs);
  }

  private static MemberStatus missing(MemberStatus before, String reason, long askedMs) {
    long sinceMs =
        before.missingSinceMs() == MemberStatus.PRESENT ? askedMs : before.missingSinceMs();
    return new MemberStatus(before.host(), before.report(), before.askedMs(), sinceMs, reason);
  }
}
