package org.limpetring.engine;

/**
 * Receives a response as it arrives. An exception from the sink ends the attempt, and the request
 * is cancelled at the upstream.
 */
public interface ResponseSink {

  /** Called once, before the first {@link #part}. */
  void begin(int status, String contentType) throws CallerDisconnectedException;

  /** Called for each complete event of a stream, or for each chunk of a plain body. */
  void part(byte[] bytes) throws CallerDisconnectedException;

  /** The caller has closed its connection. */
  final class CallerDisconnectedException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Wraps the failure of a write to the caller. */
    public CallerDisconnectedException(Throwable cause) {
      super(cause);
    }
  }
}
