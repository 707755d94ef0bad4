package org.limpetring.routing.cold;

/**
 * Settings of cold groups: permit timing and cold detection.
 *
 * @param maxPermitMs maximum time that one request may occupy a cold group
 * @param graceMs time after a permit's expiry until its slot is granted again
 * @param slowFirstEventMs a first event later than this indicates that a warm group turned cold
 * @param successesToWarm number of consecutive completions that clear a mark
 */
public record ColdSettings(
    long maxPermitMs, long graceMs, long slowFirstEventMs, int successesToWarm) {

  /** Settings for responses of up to a minute. */
  public static final ColdSettings DEFAULT = new ColdSettings(60_000, 500, 5_000, 4);

  /** Returns the time after which no permit of an earlier sender can be in use. */
  public long quarantineMs() {
    return maxPermitMs + graceMs;
  }
}
