package org.limpetring.engine;

/** Takes an answer as it arrives; a sink that throws ends the try, and the upstream is told. */
public interface ResponseSink {

  /** Called once, before any part. */
  void begin(int status, String contentType) throws CallerDisconnectedException;

  /** Called for each whole event of a stream, or for each chunk of a plain body. */
  void part(byte[] bytes) throws CallerDisconnectedException;

  /** The caller closed its connection. */
  final class CallerDisconnectedException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Carries the cause found when writing to the caller. */
    public CallerDisconnectedException(Throwable cause) {
      super(cause);
    }
  }
}
