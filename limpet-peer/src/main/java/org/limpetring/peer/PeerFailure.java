package org.limpetring.peer;

/** Why a request to a peer has no response. */
public enum PeerFailure {
  /** No connection could be opened; nothing was sent. */
  UNREACHABLE(false),
  /** The queue towards the peer was full; nothing was sent. */
  QUEUE_FULL(false),
  /** The message exceeds the longest frame; nothing was sent. */
  TOO_LARGE(false),
  /** The connection ended before the response. */
  CONNECTION_LOST(true),
  /** The response did not arrive in time. */
  TIMEOUT(true),
  /** The transport was closed. */
  CLOSED(true);

  private final boolean mayHaveArrived;

  PeerFailure(boolean mayHaveArrived) {
    this.mayHaveArrived = mayHaveArrived;
  }

  /** Whether the peer may have received the request. */
  public boolean mayHaveArrived() {
    return mayHaveArrived;
  }
}
