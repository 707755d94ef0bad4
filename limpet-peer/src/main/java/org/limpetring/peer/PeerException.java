package org.limpetring.peer;

/** A request to a peer ended without response; the peer may or may not have handled it. */
public final class PeerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final PeerFailure failure;

  /** Fails for the reason {@code failure}. */
  public PeerException(PeerFailure failure, String detail) {
    super(failure + ": " + detail);
    this.failure = failure;
  }

  /** Why there is no response. */
  public PeerFailure failure() {
    return failure;
  }
}
