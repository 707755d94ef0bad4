package org.limpetring.fleet.role;

/**
 * Times of the takeover rule; all daemons must use the same.
 *
 * @param confirmationMs how long a holder acts on one confirmation of its epoch
 * @param marginMs further wait of a new holder, for clocks that run at different rates
 * @param outageMs how long a holder acts without the platform, on the word of other daemons
 */
public record RoleSettings(long confirmationMs, long marginMs, long outageMs) {

  /** Times for daemons a few milliseconds apart. */
  public static final RoleSettings DEFAULT = new RoleSettings(3_000, 500, 3_600_000);

  private static final long DRIFT_DIVISOR = 100;

  /** Rejects times that are not positive. */
  public RoleSettings {
    if (confirmationMs <= 0 || marginMs <= 0 || outageMs < confirmationMs) {
      throw new IllegalArgumentException("bad takeover times");
    }
  }

  /** Wait between the last acknowledgement of a newer epoch and the end of the older one. */
  public long retirementMs() {
    return confirmationMs + marginMs;
  }

  /** Wait between learning of a newer epoch and the end of the older one, without any word. */
  public long outageRetirementMs() {
    return outageMs + outageMs / DRIFT_DIVISOR + marginMs;
  }
}
