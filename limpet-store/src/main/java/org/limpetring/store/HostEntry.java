package org.limpetring.store;

import org.limpetring.base.FabricDomain;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;

/**
 * Entry of the platform's host list.
 *
 * @param address IP address in text form
 * @param leaving whether the platform is about to withdraw the host
 * @param accelerators number of accelerators on the host
 */
public record HostEntry(
    HostId host,
    String address,
    FailureDomain failureDomain,
    FabricDomain fabricDomain,
    boolean leaving,
    int accelerators) {}
