package org.limpetring.fleet;

import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;

/**
 * Roster entry of one daemon.
 *
 * @param id id of this incarnation of the daemon; a restart takes a new one
 * @param address IP address in text form
 * @param peerPort TCP port for connections from other daemons
 */
public record DaemonEntry(DaemonId id, String address, int peerPort, FailureDomain failureDomain) {}
