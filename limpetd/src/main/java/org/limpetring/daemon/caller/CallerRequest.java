package org.limpetring.daemon.caller;

import org.jspecify.annotations.Nullable;
import org.limpetring.base.CallerId;
import org.limpetring.base.RequestId;

/**
 * Caller's request after it was read and before it is routed.
 *
 * @param path path with query, as it is passed on
 * @param idempotencyKey the caller's key, or null
 * @param arrivedMs reading of the monotonic clock when the request came in
 * @param wantedMs deadline that the caller named, or 0
 */
public record CallerRequest(
    RequestId id,
    CallerId caller,
    String method,
    String path,
    String contentType,
    byte[] body,
    ChatBody chat,
    @Nullable String idempotencyKey,
    long arrivedMs,
    long wantedMs) {}
