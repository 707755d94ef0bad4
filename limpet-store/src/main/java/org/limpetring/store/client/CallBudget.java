package org.limpetring.store.client;

/**
 * Token bucket that decides when a call to the platform may start.
 *
 * <p>Callers reserve in their order of arrival. Times are milliseconds on one monotonic scale. Not
 * thread-safe.
 */
public final class CallBudget {

  /** Result of a reservation that would have to wait too long. */
  public static final long REFUSED = -1;

  private static final long UNITS_PER_CALL = 1_000;

  private final long capacityUnits;
  private final long callsPerSecond;
  private long units;
  private long updatedMs;

  /**
   * Starts full.
   *
   * @param burstCalls calls that may start at once after a pause
   * @param callsPerSecond calls that may start per second in the long run
   */
  public CallBudget(int burstCalls, int callsPerSecond, long nowMs) {
    if (burstCalls <= 0 || callsPerSecond <= 0) {
      throw new IllegalArgumentException("a call budget must be positive");
    }
    this.capacityUnits = burstCalls * UNITS_PER_CALL;
    this.callsPerSecond = callsPerSecond;
    this.units = capacityUnits;
    this.updatedMs = nowMs;
  }

  /**
   * Reserves one call.
   *
   * @return time to wait before the call in milliseconds, or {@link #REFUSED} and no reservation
   *     where this exceeds {@code maxWaitMs}
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
    long elapsedMs = Math.max(0, nowMs - updatedMs);
    updatedMs = Math.max(updatedMs, nowMs);
    long emptyMs = (capacityUnits - units) / callsPerSecond + 1;
    units = Math.min(capacityUnits, units + Math.min(elapsedMs, emptyMs) * callsPerSecond);
  }
}
