package org.limpetring.fleet.membership;

/**
 * Timing of failure detection.
 *
 * @param probePeriodMs interval between probes; one peer is probed per period
 * @param directTimeoutMs wait for a direct response before helpers probe the target
 * @param suspicionTimeoutMs time within which a suspected daemon must refute
 * @param pauseThresholdMs gap between two ticks above which this daemon restarts its suspicions
 */
public record MembershipSettings(
    long probePeriodMs, long directTimeoutMs, long suspicionTimeoutMs, long pauseThresholdMs) {

  /** Defaults for daemons with a few milliseconds of network delay between them. */
  public static final MembershipSettings DEFAULT = new MembershipSettings(1_000, 300, 3_000, 1_500);
}
