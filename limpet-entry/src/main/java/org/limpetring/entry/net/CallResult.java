package org.limpetring.entry.net;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** Result of a call whose response body is read completely. */
public sealed interface CallResult {

  /** A complete response. */
  record Completed(int status, HttpHeaders headers, byte[] body) implements CallResult {

    /** A response without headers. */
    public Completed(int status, byte[] body) {
      this(status, EmptyHttpHeaders.INSTANCE, body);
    }
  }

  /** No complete response. */
  record Failed(SendFailure failure) implements CallResult {}
}
