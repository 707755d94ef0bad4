package org.limpetring.routing.claim;

import java.util.regex.Pattern;

/**
 * Wish of one request to run the work of a key.
 *
 * @param keyTimeMs creation time of the key, in milliseconds since the Unix epoch
 * @param attempt names this request alone; the same in each repeat of the wish
 * @param requestDigest tells requests of other content under the same key
 */
public record ClaimRequest(ClaimId id, long keyTimeMs, String attempt, String requestDigest) {

  private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9_-]{1,24}");

  /** Checks that the parts can stand in the shard's object. */
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
