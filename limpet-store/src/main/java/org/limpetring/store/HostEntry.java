package org.limpetring.store;

import org.limpetring.base.FabricDomain;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;

/**
 * Host as the platform lists it.
 *
 * @param address IP number in text form
 * @param leaving whether the platform is about to take the host away
 * @param accelerators number of accelerators on the host
 */
public record HostEntry(
    HostId host,
    String address,
    FailureDomain failureDomain,
    FabricDomain fabricDomain,
    boolean leaving,
    int accelerators) {}
