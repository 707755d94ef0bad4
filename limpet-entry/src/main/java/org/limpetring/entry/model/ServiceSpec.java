package org.limpetring.entry.model;

import org.jspecify.annotations.Nullable;

/**
 * Pool of upstreams.
 *
 * @param maxConnections connection limit of one upstream, for all daemons together
 * @param coldRequestsPerSecond request rate that a cold upstream sustains, for all daemons together
 * @param engine performance figures of model engines; null for a plain service
 */
public record ServiceSpec(
    String name,
    String healthPath,
    int maxConnections,
    double coldRequestsPerSecond,
    @Nullable EngineSpec engine) {}
