package org.limpetring.standin.engine;

/**
 * State of one engine as seen from outside of the system under test.
 *
 * @param alive whether its process runs
 * @param paused whether its process is stopped for a while
 * @param draining whether it takes no new request on order
 */
public record EngineState(boolean alive, boolean paused, boolean draining, Report report) {}
