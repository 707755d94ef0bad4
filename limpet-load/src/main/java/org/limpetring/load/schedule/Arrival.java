package org.limpetring.load.schedule;

/**
 * One request as scheduled.
 *
 * @param number position in the order of generation, from 0
 * @param atMs time after the start of the first phase
 * @param reference the caller's own identifier of the request; unique in the experiment
 * @param contentSeed seed of the content
 */
public record Arrival(
    int number,
    long atMs,
    Experiment.Team team,
    Experiment.Kind kind,
    Experiment.Phase phase,
    String reference,
    long contentSeed) {}
