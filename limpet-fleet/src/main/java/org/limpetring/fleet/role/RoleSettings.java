package org.limpetring.fleet.role;

/**
 * Timing of role takeover; all daemons must use the same values.
 *
 * @param leaseMs how long a holder may act after one confirmation of its epoch
 * @param clockMarginMs additional wait of a new holder that covers clocks running at different
 *     rates
 * @param maxOutageMs how long a holder may act without the platform, on confirmations of other
 *     daemons
 */
public record RoleSettings(long leaseMs, long clockMarginMs, long maxOutageMs) {

  /** Defaults for daemons with a few milliseconds of network delay between them. */
  public static final RoleSettings DEFAULT = new RoleSettings(3_000, 500, 3_600_000);

  private static final long DRIFT_DIVISOR = 100;

  /** Rejects non-positive times and an outage limit shorter than the lease. */
  public RoleSettings {
    if (leaseMs <= 0 || clockMarginMs <= 0 || maxOutageMs < leaseMs) {
      throw new IllegalArgumentException(
          "takeover times must be positive and maxOutageMs at least leaseMs");
    }
  }

  /**
   * Delay from the majority's acknowledgement of a newer epoch to the retirement of the older one.
   */
  public long retirementDelayMs() {
    return leaseMs + clockMarginMs;
  }

  /**
   * Delay from learning of a newer epoch to the retirement of the older one if no majority
   * acknowledges.
   */
  public long outageRetirementDelayMs() {
    return maxOutageMs + maxOutageMs / DRIFT_DIVISOR + clockMarginMs;
  }
}
