package org.limpetring.groups.monitor;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.HostId;
import org.limpetring.groups.ReportResult;

/** Keeps the latest status of each upstream; not thread-safe. */
public final class ReportRegistry {

  private final Map<HostId, MemberStatus> statuses = new HashMap<>();

  /**
   * Processes the result of a poll sent at {@code requestedAtMs}; results of older polls are
   * ignored.
   */
  public void onResult(HostId host, ReportResult result, long requestedAtMs) {
    MemberStatus previous = status(host);
    if (requestedAtMs < Math.max(previous.requestedAtMs(), previous.unansweredSinceMs())) {
      return;
    }
    statuses.put(host, next(previous, result, requestedAtMs));
  }

  /** Status of {@code host}. */
  public MemberStatus status(HostId host) {
    @Nullable MemberStatus status = statuses.get(host);
    return status == null ? MemberStatus.unknown(host) : status;
  }

  /** Removes every upstream that is not in {@code hosts}. */
  public void retain(Set<HostId> hosts) {
    statuses.keySet().retainAll(hosts);
  }

  /** Returns an independent copy. */
  public ReportRegistry copy() {
    ReportRegistry copy = new ReportRegistry();
    copy.statuses.putAll(statuses);
    return copy;
  }

  private static MemberStatus next(MemberStatus previous, ReportResult result, long requestedAtMs) {
    HostId host = previous.host();
    if (result instanceof ReportResult.Reported reported) {
      if (reported.report().host().equals(host)) {
        return new MemberStatus(host, reported.report(), requestedAtMs, MemberStatus.UNSET_MS, "");
      }
      return missing(previous, "answered as " + reported.report().host(), requestedAtMs);
    }
    return missing(previous, ((ReportResult.Missing) result).reason(), requestedAtMs);
  }

  private static MemberStatus missing(MemberStatus previous, String reason, long requestedAtMs) {
    long sinceMs =
        previous.unansweredSinceMs() == MemberStatus.UNSET_MS
            ? requestedAtMs
            : previous.unansweredSinceMs();
    return new MemberStatus(
        previous.host(), previous.report(), previous.requestedAtMs(), sinceMs, reason);
  }
}
