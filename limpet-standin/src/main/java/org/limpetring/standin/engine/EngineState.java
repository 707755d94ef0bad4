package org.limpetring.standin.engine;

/**
 * State of one engine as observed from outside the system under test.
 *
 * @param alive whether its process is running
 * @param paused whether its process is suspended
 * @param draining whether an order has made it stop accepting new requests
 */
public record EngineState(boolean alive, boolean paused, boolean draining, Report report) {}
