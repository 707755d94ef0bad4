package org.limpetring.entry.net;

/** Why an exchange ended without a whole answer. */
public enum SendFailure {
  /** Nothing listens at the address. */
  REFUSED(true),
  /** No connection came about in time. */
  CONNECT_TIMEOUT(true),
  /** The connection ended or was reset after the request was written. */
  BROKEN(false),
  /** The upstream's bytes are no answer. */
  GARBLED(false),
  /** The upstream answered another request. */
  CROSSED(false),
  /** No answer in time. */
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
