package org.limpetring.groups.monitor;

import org.jspecify.annotations.Nullable;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberReport;

/**
 * What is known of one upstream.
 *
 * @param report last report, or null before the first
 * @param askedMs when that report was asked for; it describes a later moment
 * @param unansweredSinceMs when the first ask without an answer since then was sent; {@link
 *     #PRESENT} if there is none
 * @param failureReason why the last ask failed; empty if it did not
 */
public record MemberStatus(
    HostId host,
    @Nullable MemberReport report,
    long requestedAtMs,
    long unansweredSinceMs,
    String failureReason) {

  /** Value of {@code unansweredSinceMs} while the upstream answers. */
  public static final long UNSET_MS = -1;

  /** Status of an upstream that was never asked. */
  public static MemberStatus unknown(HostId host) {
    return new MemberStatus(host, null, UNSET_MS, UNSET_MS, "");
  }

  /** The last report if it was asked for within {@code freshMs} and no later ask failed. */
  public @Nullable MemberReport freshReport(long nowMs, long freshMs) {
    if (unansweredSinceMs != UNSET_MS || report == null) {
      return null;
    }
    return nowMs - requestedAtMs <= freshMs ? report : null;
  }

  /** How long the upstream has not answered, in ms; 0 while it does or was never asked. */
  public long unansweredMs(long nowMs) {
    return unansweredSinceMs == UNSET_MS ? 0 : nowMs - unansweredSinceMs;
  }
}
