package org.limpetring.entry.net;

/** Reason why an exchange ended without a complete response. */
public enum SendFailure {
  /** Nothing listens at the address. */
  REFUSED(true),
  /** No connection was established in time. */
  CONNECT_TIMEOUT(true),
  /** The connection took so long that the request is no longer to go there. */
  WITHDRAWN(true),
  /** The connection ended or was reset after the request was written. */
  BROKEN(false),
  /** The upstream's bytes are not a valid response. */
  GARBLED(false),
  /** The response belongs to another request. */
  CROSSED(false),
  /** No response in time. */
  TIMEOUT(false);

  private final boolean isUnsent;

  SendFailure(boolean isUnsent) {
    this.isUnsent = isUnsent;
  }

  /** Whether no byte of the request can have reached the upstream. */
  public boolean isUnsent() {
    return isUnsent;
  }
}
