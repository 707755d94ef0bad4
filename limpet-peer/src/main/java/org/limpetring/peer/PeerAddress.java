package org.limpetring.peer;

/** Where another daemon listens for peers: an IP number in text form and a TCP port. */
public record PeerAddress(String ip, int port) {}
