package org.limpetring.routing.claim;

/**
 * Timing of claims.
 *
 * @param batchDelayMs time that the first claim of a batch waits for more claims
 * @param writeIntervalMs minimum time between two writes of one shard
 * @param settleDelayMs maximum time that settlements wait to share a write with claims
 * @param retentionMs time that a key is remembered after its creation
 * @param futureToleranceMs tolerated lead of a caller's clock
 */
public record ClaimSettings(
    long batchDelayMs,
    long writeIntervalMs,
    long settleDelayMs,
    long retentionMs,
    long futureToleranceMs) {

  /** Settings that fit the platform's current rate limits. */
  public static final ClaimSettings DEFAULT = new ClaimSettings(3, 40, 1_000, 1_800_000, 60_000);
}
