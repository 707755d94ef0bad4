package org.limpetring.store.http;

/** An answer of the platform lacks a field or holds one of the wrong type. */
final class MalformedAnswerException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String reason;

  MalformedAnswerException(String reason) {
    super(reason);
    this.reason = reason;
  }

  /** What is wrong with the answer. */
  String reason() {
    return reason;
  }
}
