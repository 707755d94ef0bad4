package org.limpetring.load.schedule;

/**
 * One request as scheduled.
 *
 * @param number place in the schedule, from 0
 * @param atMs time after the start of the first phase
 * @param reference the caller's own mark; differs between any two requests
 * @param contentSeed fixes the content
 */
public record Arrival(
    int number,
    long atMs,
    Experiment.Team team,
    Experiment.Kind kind,
    Experiment.Phase phase,
    String reference,
    long contentSeed) {}
