package org.limpetring.entry.port;

import org.jspecify.annotations.Nullable;

/**
 * What the daemon adds to a request on its way to an upstream.
 *
 * @param upstreamId only this upstream may run it
 * @param team the caller's team, or null
 * @param leftMs time that is left
 * @param urgency 0 goes first, 9 last
 * @param lastEventId event after which a stream goes on, or null
 */
public record ForwardingParameters(
    String upstreamId,
    @Nullable String team,
    long leftMs,
    int urgency,
    @Nullable String lastEventId) {}
