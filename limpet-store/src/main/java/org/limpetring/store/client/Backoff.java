package org.limpetring.store.client;

import java.util.SplittableRandom;

/**
 * Pauses between repeated calls: exponential growth with jitter, so that callers that failed
 * together do not return together. Deterministic for one seed. Not thread-safe.
 */
public final class Backoff {

  private final long firstMs;
  private final long maxMs;
  private final SplittableRandom random;
  private long ceilingMs;

  /**
   * Starts at the first pause.
   *
   * @param firstMs longest first pause
   * @param maxMs longest pause of all
   */
  public Backoff(long firstMs, long maxMs, long seed) {
    if (firstMs <= 0 || maxMs < firstMs) {
      throw new IllegalArgumentException("backoff needs 0 < firstMs <= maxMs");
    }
    this.firstMs = firstMs;
    this.maxMs = maxMs;
    this.random = new SplittableRandom(seed);
    this.ceilingMs = firstMs;
  }

  /** Next pause in milliseconds: between half of the current ceiling and all of it. */
  public long nextMs() {
    long pauseMs = random.nextLong((ceilingMs + 1) / 2, ceilingMs + 1);
    ceilingMs = ceilingMs > maxMs / 2 ? maxMs : ceilingMs * 2;
    return pauseMs;
  }

  /** Returns to the first pause after a success. */
  public void reset() {
    ceilingMs = firstMs;
  }
}
