package org.limpetring.routing.request;

import org.jspecify.annotations.Nullable;

/**
 * Properties of a request that decide how it may be dispatched.
 *
 * @param idempotent whether the route permits running the request more than once
 * @param claimKey idempotency key to claim before dispatch; null if and only if idempotent
 * @param resumable whether a response started by one group can be continued by another
 * @param maxTries maximum number of dispatches, at least 1
 */
public record RequestTraits(
    boolean idempotent, @Nullable String claimKey, boolean resumable, int maxTries) {

  /** Checks that a key is present if and only if the request is non-idempotent. */
  public RequestTraits {
    if (idempotent != (claimKey == null)) {
      throw new IllegalArgumentException(
          "a claim key is required for non-idempotent requests and only for them");
    }
    if (maxTries < 1) {
      throw new IllegalArgumentException("maxTries must be at least 1: " + maxTries);
    }
  }
}
