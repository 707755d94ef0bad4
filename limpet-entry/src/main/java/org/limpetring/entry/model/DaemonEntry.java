package org.limpetring.entry.model;

import java.net.InetSocketAddress;

/** Daemon as it lists itself in the platform's store, with the address for peers' messages. */
public record DaemonEntry(String name, String failureDomain, InetSocketAddress peerAddress) {}
