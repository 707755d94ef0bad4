package org.limpetring.engine;

import org.limpetring.base.RequestId;

/**
 * Request as an upstream gets it.
 *
 * @param body bytes of the caller's body, passed unchanged
 * @param resumeOffset events of the answer that the caller already has; 0 for a new request
 * @param firstByteMs longest wait for the first byte of the answer, in milliseconds
 * @param progressMs longest silence within the answer, in milliseconds
 * @param streamed whether the answer must end with the event stream's end marker
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
