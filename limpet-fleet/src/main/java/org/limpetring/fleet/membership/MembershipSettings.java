package org.limpetring.fleet.membership;

/**
 * Times of failure detection.
 *
 * @param periodMs interval between probes; one peer is probed in each
 * @param directMs wait for a direct answer before helpers are asked
 * @param suspicionMs how long a suspected daemon may take to refute
 * @param pauseMs gap between two ticks from which on this daemon mistrusts its own suspicions
 */
public record MembershipSettings(long periodMs, long directMs, long suspicionMs, long pauseMs) {

  /** Times for daemons a few milliseconds apart. */
  public static final MembershipSettings DEFAULT = new MembershipSettings(1_000, 300, 3_000, 1_500);
}
