package org.limpetring.groups.monitor;

import org.limpetring.base.FailureDomain;
import org.limpetring.groups.PlannedGroup;

/**
 * Group to observe, with its data from the configuration and the host list.
 *
 * @param takesOrders whether members report group and epoch; false for plain services
 * @param entryAddress {@code ip:port} that receives requests
 * @param outOfService whether a member is marked out of service or leaving according to the host
 *     list
 */
public record Target(
    PlannedGroup group,
    boolean takesOrders,
    String entryAddress,
    FailureDomain failureDomain,
    boolean outOfService) {}
