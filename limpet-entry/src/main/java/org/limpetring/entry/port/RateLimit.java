package org.limpetring.entry.port;

/** What an upstream's answer says about the rate of requests that it takes from all daemons. */
public sealed interface RateLimit {

  /** The upstream names no limit. */
  record None() implements RateLimit {}

  /**
   * The upstream takes so many requests from all daemons together.
   *
   * @param requestsPerSecond at least 0
   */
  record Of(double requestsPerSecond) implements RateLimit {

    /** Rejects a rate that can't be kept. */
    public Of {
      if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
        throw new IllegalArgumentException("no rate of requests: " + requestsPerSecond);
      }
    }
  }

  /** The upstream's value is no rate; it neither sets nor ends a limit. */
  record Malformed(String value) implements RateLimit {}
}
