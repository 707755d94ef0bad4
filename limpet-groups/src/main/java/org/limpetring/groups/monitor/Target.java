package org.limpetring.groups.monitor;

import org.limpetring.base.FailureDomain;
import org.limpetring.groups.PlannedGroup;

/**
 * Group to observe, with what the configuration and the host list say of it.
 *
 * @param takesOrders whether members report group and epoch; false for plain services
 * @param entryAddress {@code ip:port} that takes requests
 * @param out whether operators have taken a member out of service, or the host list says that one
 *     leaves
 */
public record Target(
    PlannedGroup group,
    boolean takesOrders,
    String entryAddress,
    FailureDomain failureDomain,
    boolean outOfService) {}
