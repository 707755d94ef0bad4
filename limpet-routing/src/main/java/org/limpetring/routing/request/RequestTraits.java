package org.limpetring.routing.request;

import org.jspecify.annotations.Nullable;

/**
 * What the machine must know of a request.
 *
 * @param idempotent whether the route permits running it twice
 * @param claimKey idempotency key to claim before dispatch; null exactly where idempotent
 * @param resumable whether an answer begun by one group can be continued by another
 * @param maxTries largest number of dispatches, at least 1
 */
public record RequestTraits(
    boolean idempotent, @Nullable String claimKey, boolean resumable, int maxTries) {

  /** Checks that exactly non-idempotent work has a key. */
  public RequestTraits {
    if (idempotent != (claimKey == null)) {
      throw new IllegalArgumentException("only non-idempotent requests claim a key");
    }
    if (maxTries < 1) {
      throw new IllegalArgumentException("maxTries " + maxTries);
    }
  }
}
