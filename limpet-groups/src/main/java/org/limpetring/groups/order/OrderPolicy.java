package org.limpetring.groups.order;

/**
 * Times and rates of orders.
 *
 * @param freshMs age up to which a report counts
 * @param retryMs time before the same order goes to the same host again
 * @param loadsAtOnce hosts of this fabric domain that may fetch weights at the same time
 */
public record OrderPolicy(long freshMs, long retryMs, int loadsAtOnce) {}
