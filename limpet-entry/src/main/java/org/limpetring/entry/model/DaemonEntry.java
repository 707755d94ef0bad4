package org.limpetring.entry.model;

import java.net.InetSocketAddress;

/** Entry of a daemon in the platform's store, with its address for peer datagrams. */
public record DaemonEntry(String name, String failureDomain, InetSocketAddress peerAddress) {}
