package org.limpetring.base;

/**
 * Source of time in milliseconds; decision logic gets the time as an argument instead of a clock.
 */
@FunctionalInterface
public interface Clock {

  /** Milliseconds on a monotonic scale whose origin is arbitrary but fixed within one process. */
  long nowMs();

  /** The monotonic clock of this process. */
  static Clock system() {
    return () -> System.nanoTime() / NANOS_PER_MS;
  }

  /**
   * Milliseconds since the Unix epoch; for reports and retention windows, not for leases, because
   * it can jump.
   */
  static Clock wall() {
    return System::currentTimeMillis;
  }

  /** Nanoseconds in a millisecond. */
  long NANOS_PER_MS = 1_000_000L;
}
