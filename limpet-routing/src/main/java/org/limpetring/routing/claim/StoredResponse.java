package org.limpetring.routing.claim;

/**
 * Complete response of a request that ran.
 *
 * @param requestDigest digest of the request's content
 * @param status HTTP status
 * @param body bytes as sent to the caller; must not be modified
 */
public record StoredResponse(String requestDigest, int status, String contentType, byte[] body) {

  private static final int OVERHEAD_BYTES = 200;

  /** Approximate memory use in bytes. */
  int sizeBytes() {
    return OVERHEAD_BYTES + contentType.length() + body.length;
  }
}
