package org.limpetring.engine;

import org.limpetring.base.RequestId;

/**
 * Request as it is sent to an upstream.
 *
 * @param body body of the caller's request, forwarded unchanged
 * @param resumeOffset number of response events that the caller has already received; 0 for a new
 *     request
 * @param firstByteMs maximum time to the first byte of the response, in milliseconds
 * @param progressMs maximum time without a byte within the response body, in milliseconds
 * @param streamed whether the response is an event stream, which must end with the end marker
 */
public record EngineRequest(
    RequestId id,
    String method,
    String path,
    String contentType,
    byte[] body,
    int priority,
    int resumeOffset,
    boolean streamed,
    long deadlineMs,
    long firstByteMs,
    long progressMs) {}
