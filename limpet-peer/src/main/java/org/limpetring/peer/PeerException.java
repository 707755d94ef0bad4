package org.limpetring.peer;

/**
 * Thrown when a request to a peer ends without a response; the peer may or may not have handled it.
 */
public final class PeerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final PeerFailure failure;

  /** Creates an exception with its cause category and a detail text. */
  public PeerException(PeerFailure failure, String detail) {
    super(failure + ": " + detail);
    this.failure = failure;
  }

  /** Returns why there is no response. */
  public PeerFailure failure() {
    return failure;
  }
}
