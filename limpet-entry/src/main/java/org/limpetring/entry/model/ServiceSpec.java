package org.limpetring.entry.model;

import org.jspecify.annotations.Nullable;

/**
 * Pool of upstreams.
 *
 * @param maxConnections connections that one upstream accepts of all daemons together
 * @param coldRequestsPerSecond requests a second that a cold upstream bears of all daemons together
 * @param engine figures of model engines; null for a plain service
 */
public record ServiceSpec(
    String name,
    String healthPath,
    int maxConnections,
    double coldRequestsPerSecond,
    @Nullable EngineSpec engine) {}
