package org.limpetring.fleet;

import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;

/**
 * Daemon in the roster.
 *
 * @param id name of this run of the daemon; a restart takes a new one
 * @param address IP number in text form
 * @param peerPort TCP port for other daemons
 */
public record DaemonEntry(DaemonId id, String address, int peerPort, FailureDomain failureDomain) {}
