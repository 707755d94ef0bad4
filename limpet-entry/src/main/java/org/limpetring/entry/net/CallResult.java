package org.limpetring.entry.net;

/** How a small call with a whole body ended. */
public sealed interface CallResult {

  /** A whole answer. */
  record Completed(int status, byte[] body) implements CallResult {}

  /** No whole answer. */
  record Failed(SendFailure failure) implements CallResult {}
}
