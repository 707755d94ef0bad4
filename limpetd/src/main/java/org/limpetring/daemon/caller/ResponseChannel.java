package org.limpetring.daemon.caller;

import java.io.IOException;

/** Output channel for the response to one caller. */
interface ResponseChannel {

  /** Sets a header; has no effect once bytes have been sent. */
  void header(String name, String value);

  /** Sets status and content type; has no effect once bytes have been sent. */
  void begin(int status, String contentType);

  /** Discards headers, status and buffered bytes that have not been sent. */
  void reset();

  /** Writes bytes, which may be buffered. */
  void write(byte[] bytes) throws IOException;

  /** Sends the buffered bytes. */
  void flush() throws IOException;
}
