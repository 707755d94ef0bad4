package org.limpetring.store.http;

/** A response of the platform lacks a field or contains a field of the wrong type. */
final class MalformedResponseException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String reason;

  MalformedResponseException(String reason) {
    super(reason);
    this.reason = reason;
  }

  /** Description of the missing or malformed field. */
  String reason() {
    return reason;
  }
}
