package org.limpetring.load.report;

/**
 * Group service at one time.
 *
 * @param atMs time after the start of the first phase
 * @param groups groups whose members are all ready and that do not drain
 * @param warmGroups those of them that are warm
 * @param strandedHosts healthy hosts of engines that neither serve in a whole group nor drain
 */
public record Sample(long atMs, int groups, int warmGroups, int strandedHosts) {}
