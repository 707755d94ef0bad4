package org.limpetring.peer;

/** Reason why a request to a peer has no response. */
public enum PeerFailure {
  /** No connection could be opened; nothing was sent. */
  UNREACHABLE("unreachable", false),
  /** The send queue of the peer was full; nothing was sent. */
  QUEUE_FULL("queue_full", false),
  /** The message exceeds the maximum frame size; nothing was sent. */
  TOO_LARGE("too_large", false),
  /** The connection closed before the response arrived. */
  CONNECTION_LOST("connection_lost", true),
  /** The response did not arrive in time. */
  TIMEOUT("timeout", true),
  /** The transport was closed. */
  CLOSED("closed", true);

  private final String label;
  private final boolean mayHaveArrived;

  PeerFailure(String label, boolean mayHaveArrived) {
    this.label = label;
    this.mayHaveArrived = mayHaveArrived;
  }

  /** Returns whether the peer may have received the request. */
  public boolean mayHaveArrived() {
    return mayHaveArrived;
  }

  String label() {
    return label;
  }
}
