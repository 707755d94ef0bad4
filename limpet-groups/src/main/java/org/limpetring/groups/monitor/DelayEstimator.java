package org.limpetring.groups.monitor;

/**
 * Estimates the network delay of the messages of one sender without a common clock.
 *
 * <p>The minimum difference between receiving and sending clock over the last two buckets is taken
 * as zero delay; the excess of a message over it is its delay. Two buckets let the minimum follow
 * clock drift, as in Shalunov et al., "Low Extra Delay Background Transport (LEDBAT)", RFC 6817,
 * 2012. The delay also covers time in a receive buffer while the receiving process was paused. Not
 * thread-safe.
 */
final class DelayEstimator {

  private static final long BUCKET_MS = 300_000;

  private long bucketStartMs;
  private long currentMinMs = Long.MAX_VALUE;
  private long previousMinMs = Long.MAX_VALUE;

  /**
   * Delay in ms, at least 0, of a message; {@code sentMs} is on the sender's clock, {@code
   * receivedMs} on the receiver's.
   */
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
