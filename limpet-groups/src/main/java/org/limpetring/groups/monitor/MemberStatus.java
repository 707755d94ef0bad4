package org.limpetring.groups.monitor;

import org.jspecify.annotations.Nullable;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberReport;

/**
 * Latest known status of one upstream.
 *
 * @param report last report, or null if there is none
 * @param requestedAtMs when that report was requested, which is before the state that it describes
 * @param unansweredSinceMs when the first unanswered poll after that report was sent; {@link
 *     #UNSET_MS} if there is none
 * @param failureReason why the last poll failed; empty if it succeeded
 */
public record MemberStatus(
    HostId host,
    @Nullable MemberReport report,
    long requestedAtMs,
    long unansweredSinceMs,
    String failureReason) {

  /** Value of a time that is not set: no report yet, or no unanswered poll. */
  public static final long UNSET_MS = -1;

  /** Status of an upstream that was never polled. */
  public static MemberStatus unknown(HostId host) {
    return new MemberStatus(host, null, UNSET_MS, UNSET_MS, "");
  }

  /**
   * Returns the last report if it was requested within {@code freshMs} and no later poll failed,
   * otherwise null.
   */
  public @Nullable MemberReport freshReport(long nowMs, long freshMs) {
    if (unansweredSinceMs != UNSET_MS || report == null) {
      return null;
    }
    return nowMs - requestedAtMs <= freshMs ? report : null;
  }

  /** How long the upstream has not responded, in ms; 0 if it responds or was never polled. */
  public long unansweredMs(long nowMs) {
    return unansweredSinceMs == UNSET_MS ? 0 : nowMs - unansweredSinceMs;
  }
}
