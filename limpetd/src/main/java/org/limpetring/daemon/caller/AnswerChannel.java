package org.limpetring.daemon.caller;

import java.io.IOException;

/** Way back to one caller. */
interface AnswerChannel {

  /** Sets a header; has no effect once bytes have gone out. */
  void header(String name, String value);

  /** Sets status and content type; has no effect once bytes have gone out. */
  void begin(int status, String contentType);

  /** Forgets headers, status and what was written but has not gone out. */
  void reset();

  /** Writes bytes, which may wait in a buffer. */
  void write(byte[] bytes) throws IOException;

  /** Sends what waits in the buffer. */
  void flush() throws IOException;
}
