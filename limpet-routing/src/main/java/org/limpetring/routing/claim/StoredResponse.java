package org.limpetring.routing.claim;

/**
 * Whole answer of a request that ran.
 *
 * @param requestDigest content of the request that was answered
 * @param status HTTP status
 * @param body bytes as sent to the caller; not to be changed
 */
public record StoredResponse(String requestDigest, int status, String contentType, byte[] body) {

  private static final int OVERHEAD_BYTES = 200;

  /** Memory taken, in bytes, roughly. */
  int sizeBytes() {
    return OVERHEAD_BYTES + contentType.length() + body.length;
  }
}
