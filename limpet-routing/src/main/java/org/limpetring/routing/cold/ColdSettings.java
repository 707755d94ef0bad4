package org.limpetring.routing.cold;

/**
 * Timing and evidence of cold starts.
 *
 * @param maxPermitMs longest time that one request may occupy a cold group
 * @param graceMs time after a permit's end until its slot is given again
 * @param slowFirstEventMs first event later than this is evidence that a warm group turned cold
 * @param successesToWarm completions in a row that lift a mark
 */
public record ColdSettings(
    long maxPermitMs, long graceMs, long slowFirstEventMs, int successesToWarm) {

  /** Settings for answers of up to a minute. */
  public static final ColdSettings DEFAULT = new ColdSettings(60_000, 500, 5_000, 4);

  /** Time after which no permit of an earlier sender can be in use. */
  public long quarantineMs() {
    return maxPermitMs + graceMs;
  }
}
