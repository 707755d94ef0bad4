package org.limpetring.load.report;

/**
 * Serving groups and stranded hosts at one time. It is written as JSON under the component names.
 *
 * @param atMs time after the start of the first phase
 * @param groups groups that serve: enough of their members are ready and not draining
 * @param warmGroups serving groups that are warm
 * @param strandedHosts healthy hosts that are neither in a serving group nor draining
 */
public record Sample(long atMs, int groups, int warmGroups, int strandedHosts) {}
