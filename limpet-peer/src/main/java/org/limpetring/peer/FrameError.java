package org.limpetring.peer;

/** Reason for rejecting a peer's frame or connection, with its metric label. */
enum FrameError {
  MALFORMED("malformed"),
  TOO_LARGE("too_large"),
  TOO_MANY_CONNECTIONS("too_many_connections"),
  TLS_REFUSED("tls_refused");

  private final String label;

  FrameError(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}
