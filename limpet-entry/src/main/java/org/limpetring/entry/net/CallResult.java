package org.limpetring.entry.net;

/** Result of a call whose response body is read completely. */
public sealed interface CallResult {

  /** A complete response. */
  record Completed(int status, byte[] body) implements CallResult {}

  /** No complete response. */
  record Failed(SendFailure failure) implements CallResult {}
}
