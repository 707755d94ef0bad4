package org.limpetring.groups.order;

/**
 * Timeouts and limits of orders.
 *
 * @param freshMs maximum age of a report
 * @param retryMs time before the same order is sent to the same host again
 * @param loadsAtOnce hosts of this fabric domain that may fetch weights at the same time
 */
public record OrderPolicy(long freshMs, long retryMs, int loadsAtOnce) {}
