package org.limpetring.routing.request;

/** Limits retries. */
@FunctionalInterface
public interface RetryPermit {

  /** Acquires permission for one retry at {@code nowMs}; returns false if none is available. */
  boolean tryAcquire(long nowMs);
}
