package org.limpetring.routing.claim;

/**
 * Timing of claims.
 *
 * @param gatherMs wait of the first claim of a batch for others
 * @param writeIntervalMs shortest time between two writes of one shard
 * @param settleDelayMs longest wait of settlements for a batch of claims
 * @param retentionMs time for which a key is remembered after its creation
 * @param futureToleranceMs lead of a caller's clock that is accepted
 */
public record ClaimSettings(
    long gatherMs,
    long writeIntervalMs,
    long settleDelayMs,
    long retentionMs,
    long futureToleranceMs) {

  /** Settings that fit the platform's rates of today. */
  public static final ClaimSettings DEFAULT = new ClaimSettings(3, 40, 1_000, 1_800_000, 60_000);
}
