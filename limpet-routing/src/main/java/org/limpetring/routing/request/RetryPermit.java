package org.limpetring.routing.request;

/** Says whether one more try may be made now. */
@FunctionalInterface
public interface RetryPermit {

  /** Takes the permission to retry at {@code nowMs}, or returns false. */
  boolean tryTake(long nowMs);
}
