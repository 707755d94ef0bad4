package org.limpetring.routing.admit;

import org.limpetring.base.Metrics;
import org.limpetring.routing.request.RetryPermit;

/**
 * Token bucket that limits retries to a fraction of the first tries, so that retries do not amplify
 * the load during an outage. Thread-safe.
 */
public final class RetryBudget implements RetryPermit {

  private final double tokensPerRequest;
  private final double tokensPerMs;
  private final double maxTokens;
  private double tokens;
  private long lastRefillMs;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerRequest retries earned by each first try, below 1
   * @param tokensPerSecond retries per second that are permitted regardless of first tries
   * @param maxTokens capacity of the bucket: largest burst of retries
   */
  public RetryBudget(
      double tokensPerRequest, double tokensPerSecond, double maxTokens, long nowMs) {
    this.tokensPerRequest = tokensPerRequest;
    this.tokensPerMs = tokensPerSecond / 1_000;
    this.maxTokens = maxTokens;
    this.tokens = maxTokens;
    this.lastRefillMs = nowMs;
  }

  /** Counts a first try. */
  public synchronized void onFirstTry() {
    tokens = Math.min(maxTokens, tokens + tokensPerRequest);
  }

  @Override
  public synchronized boolean tryAcquire(long nowMs) {
    tokens = Math.min(maxTokens, tokens + Math.max(0, nowMs - lastRefillMs) * tokensPerMs);
    lastRefillMs = Math.max(lastRefillMs, nowMs);
    if (tokens < 1) {
      Metrics.RETRIES.labelValues("budget_spent").inc();
      return false;
    }
    tokens--;
    return true;
  }
}
