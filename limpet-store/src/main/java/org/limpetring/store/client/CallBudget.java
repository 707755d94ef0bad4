package org.limpetring.store.client;

/**
 * Token bucket that limits the rate of calls to the platform.
 *
 * <p>Reservations are served in order of arrival. Times are in milliseconds of one monotonic clock.
 * Not thread-safe.
 */
public final class CallBudget {

  /** Result of a reservation whose wait would exceed the limit. */
  public static final long REFUSED = -1;

  private static final long UNITS_PER_CALL = 1_000;

  private final long capacityUnits;
  private final long callsPerSecond;
  private long units;
  private long lastRefillMs;

  /**
   * Creates a full bucket.
   *
   * @param burstCalls capacity of the bucket: calls that may start at the same time after an idle
   *     period
   * @param callsPerSecond sustained rate of calls
   */
  public CallBudget(int burstCalls, int callsPerSecond, long nowMs) {
    if (burstCalls <= 0 || callsPerSecond <= 0) {
      throw new IllegalArgumentException("burst and rate of a call budget must be positive");
    }
    this.capacityUnits = burstCalls * UNITS_PER_CALL;
    this.callsPerSecond = callsPerSecond;
    this.units = capacityUnits;
    this.lastRefillMs = nowMs;
  }

  /**
   * Reserves one call.
   *
   * @return time to wait before the call in milliseconds, or {@link #REFUSED}, without a
   *     reservation, if the wait would exceed {@code maxWaitMs}
   */
  public long reserve(long nowMs, long maxWaitMs) {
    refill(nowMs);
    long missingUnits = UNITS_PER_CALL - units;
    long waitMs = missingUnits <= 0 ? 0 : (missingUnits + callsPerSecond - 1) / callsPerSecond;
    if (waitMs > maxWaitMs) {
      return REFUSED;
    }
    units -= UNITS_PER_CALL;
    return waitMs;
  }

  private void refill(long nowMs) {
    long elapsedMs = Math.max(0, nowMs - lastRefillMs);
    lastRefillMs = Math.max(lastRefillMs, nowMs);
    long untilFullMs = (capacityUnits - units) / callsPerSecond + 1;
    units = Math.min(capacityUnits, units + Math.min(elapsedMs, untilFullMs) * callsPerSecond);
  }
}
