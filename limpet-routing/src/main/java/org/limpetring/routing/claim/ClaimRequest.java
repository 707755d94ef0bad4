package org.limpetring.routing.claim;

import java.util.regex.Pattern;

/**
 * Request for the claim of an idempotency key.
 *
 * @param keyTimeMs creation time of the key, in milliseconds since the Unix epoch
 * @param attempt unique id of the caller's request; the same in each retry of the claim request
 * @param requestDigest detects requests with other content under the same key
 */
public record ClaimRequest(ClaimId id, long keyTimeMs, String attempt, String requestDigest) {

  private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9_-]{1,24}");

  /** Checks that the parts can be stored as fields of the shard's text object. */
  public ClaimRequest {
    boolean isWellFormed =
        TOKEN.matcher(id.value()).matches()
            && TOKEN.matcher(attempt).matches()
            && TOKEN.matcher(requestDigest).matches();
    if (!isWellFormed) {
      throw new IllegalArgumentException("malformed claim request");
    }
  }
}
