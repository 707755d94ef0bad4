package org.limpetring.entry.port;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Head of an upstream's answer.
 *
 * @param requestId request that it belongs to, or null if not told
 * @param isNotExecuted whether the upstream says that the request did not run
 * @param isSigned whether it bears the upstream's signature
 * @param faultyUpstream id of the member at fault, or null
 * @param isEventStream whether its body is a stream of events
 * @param headers those that go on to the caller
 */
public record ResponseHead(
    int status,
    @Nullable String requestId,
    boolean isNotExecuted,
    boolean isSigned,
    @Nullable String faultyUpstream,
    boolean isEventStream,
    HttpHeaders headers) {

  /** Whether the answer is a success. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
