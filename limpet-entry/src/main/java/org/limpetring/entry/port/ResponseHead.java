package org.limpetring.entry.port;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Status and headers of an upstream's response, decoded.
 *
 * @param requestId request that it belongs to, or null if missing
 * @param isNotExecuted whether the upstream reports that the request did not run
 * @param isSigned whether it carries the upstream's signature
 * @param faultyUpstream id of the member at fault, or null
 * @param isLeaving whether the upstream reports that it accepts no new requests
 * @param pause what a rejection says about later requests
 * @param rateLimit what it says about the rate of requests that the upstream takes
 * @param isEventStream whether its body is a stream of events
 * @param headers headers to forward to the caller
 */
public record ResponseHead(
    int status,
    @Nullable String requestId,
    boolean isNotExecuted,
    boolean isSigned,
    @Nullable String faultyUpstream,
    boolean isLeaving,
    Pause pause,
    RateLimit rateLimit,
    boolean isEventStream,
    HttpHeaders headers) {

  /** Whether the status code is a success. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
