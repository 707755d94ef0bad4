package org.limpetring.groups.monitor;

/**
 * Estimates how long messages of one sender were under way, without a common clock.
 *
 * <p>The least difference between receiving and sending clock seen lately stands for no delay; what
 * a message exceeds it by is its delay. Two buckets let the base follow clock drift, as in Shalunov
 * et al., "Low Extra Delay Background Transport (LEDBAT)", RFC 6817, 2012. A message that waited in
 * a buffer while the receiving process was paused is so found to be old. Not thread-safe.
 */
final class DelayEstimator {

  private static final long BUCKET_MS = 300_000;

  private long bucketStartMs;
  private long currentMinMs = Long.MAX_VALUE;
  private long previousMinMs = Long.MAX_VALUE;

  /** Delay in ms of a message sent at {@code sentMs} by its sender's clock; at least 0. */
  long delayMs(long sentMs, long receivedMs) {
    if (currentMinMs == Long.MAX_VALUE || receivedMs - bucketStartMs > BUCKET_MS) {
      bucketStartMs = receivedMs;
      previousMinMs = currentMinMs;
      currentMinMs = Long.MAX_VALUE;
    }
    long differenceMs = receivedMs - sentMs;
    currentMinMs = Math.min(currentMinMs, differenceMs);
    return differenceMs - Math.min(currentMinMs, previousMinMs);
  }
}
