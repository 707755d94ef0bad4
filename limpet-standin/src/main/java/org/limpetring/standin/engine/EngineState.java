package org.limpetring.standin.engine;

/** State of one engine as seen from outside of the system under test. */
public record EngineState(boolean alive, boolean paused, Report report) {}
