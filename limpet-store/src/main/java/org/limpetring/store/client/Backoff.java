package org.limpetring.store.client;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter, so that callers that failed at the same time do not retry at the
 * same time. Deterministic for a given seed. Not thread-safe.
 */
public final class Backoff {

  private final long firstMs;
  private final long maxMs;
  private final SplittableRandom random;
  private long ceilingMs;

  /**
   * Creates a backoff at its first pause.
   *
   * @param firstMs upper bound of the first pause
   * @param maxMs upper bound of every pause
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

  /**
   * Returns the next pause in milliseconds: between half of the current ceiling and the whole
   * ceiling, which then doubles.
   */
  public long nextMs() {
    long pauseMs = random.nextLong((ceilingMs + 1) / 2, ceilingMs + 1);
    ceilingMs = ceilingMs > maxMs / 2 ? maxMs : ceilingMs * 2;
    return pauseMs;
  }

  /** Returns to the first pause; called after a success. */
  public void reset() {
    ceilingMs = firstMs;
  }
}
