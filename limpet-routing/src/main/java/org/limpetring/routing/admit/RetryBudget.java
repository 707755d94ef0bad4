package org.limpetring.routing.admit;

import org.limpetring.base.Metrics;
import org.limpetring.routing.request.RetryPermit;

/**
 * Token bucket that keeps retries to a share of the first tries, so that an outage is not answered
 * with more load. Safe for use by many threads.
 */
public final class RetryBudget implements RetryPermit {

  private final double tokensPerRequest;
  private final double tokensPerMs;
  private final double maxTokens;
  private double tokens;
  private long refilledMs;

  /**
   * Full bucket.
   *
   * @param tokensPerRequest retries that each first try permits, below 1
   * @param tokensPerSecond retries a second that are permitted without any first try
   * @param maxTokens retries at once
   */
  public RetryBudget(
      double tokensPerRequest, double tokensPerSecond, double maxTokens, long nowMs) {
    this.tokensPerRequest = tokensPerRequest;
    this.tokensPerMs = tokensPerSecond / 1_000;
    this.maxTokens = maxTokens;
    this.tokens = maxTokens;
    this.refilledMs = nowMs;
  }

  /** Counts a first try. */
  public synchronized void onFirstTry() {
    tokens = Math.min(maxTokens, tokens + tokensPerRequest);
  }

  @Override
  public synchronized boolean tryTake(long nowMs) {
    tokens = Math.min(maxTokens, tokens + Math.max(0, nowMs - refilledMs) * tokensPerMs);
    refilledMs = Math.max(refilledMs, nowMs);
    if (tokens < 1) {
      Metrics.RETRIES.labelValues("budget_spent").inc();
      return false;
    }
    tokens--;
    return true;
  }
}
