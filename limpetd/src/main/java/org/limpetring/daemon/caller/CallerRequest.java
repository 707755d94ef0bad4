package org.limpetring.daemon.caller;

import org.jspecify.annotations.Nullable;
import org.limpetring.base.CallerId;
import org.limpetring.base.RequestId;

/**
 * Request of a caller as read from its connection, before routing.
 *
 * @param path path with query, as forwarded to the group
 * @param idempotencyKey idempotency key that the caller sent, or null
 * @param arrivedAtMs reading of the monotonic clock when the request arrived
 * @param requestedDeadlineMs time allowed by the caller, or 0 if it sent no deadline
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
    long arrivedAtMs,
    long requestedDeadlineMs) {}
