package org.limpetring.peer;

/** Address on which a daemon listens for peers: a textual IP address and a TCP port. */
public record PeerAddress(String ip, int port) {}
