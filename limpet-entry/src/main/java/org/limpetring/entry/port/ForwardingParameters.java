package org.limpetring.entry.port;

import org.jspecify.annotations.Nullable;

/**
 * Values that the daemon adds to a request forwarded to an upstream.
 *
 * @param upstreamId the only upstream that may run the request
 * @param team the caller's team, or null
 * @param leftMs remaining time of the request
 * @param urgency 0 is the highest, 9 the lowest
 * @param lastEventId event after which a stream resumes, or null
 */
public record ForwardingParameters(
    String upstreamId,
    @Nullable String team,
    long leftMs,
    int urgency,
    @Nullable String lastEventId) {}
