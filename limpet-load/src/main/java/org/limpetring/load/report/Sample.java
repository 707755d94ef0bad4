package org.limpetring.load.report;

/**
 * Group service at one time.
 *
 * @param atMs time after the start of the first phase
 * @param groups groups whose members are all ready
 * @param warmGroups those of them that are warm
 * @param strandedHosts healthy hosts of engines that serve in no whole group
 */
public record Sample(long atMs, int groups, int warmGroups, int strandedHosts) {}
