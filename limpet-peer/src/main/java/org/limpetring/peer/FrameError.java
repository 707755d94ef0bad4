package org.limpetring.peer;

/** Why a frame or connection of a peer was refused; label of the counter. */
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
