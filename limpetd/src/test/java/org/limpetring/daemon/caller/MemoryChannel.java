package org.limpetring.daemon.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Response channel that records what a caller would receive. */
final class MemoryChannel implements ResponseChannel {

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private int status;
  private boolean failsOnFlush;

  @Override
  public void header(String name, String value) {}

  @Override
  public void begin(int newStatus, String contentType) {
    status = newStatus;
  }

  @Override
  public void reset() {
    bytes.reset();
  }

  @Override
  public void write(byte[] part) {
    bytes.writeBytes(part);
  }

  @Override
  public void flush() throws IOException {
    if (failsOnFlush) {
      throw new IOException("caller left");
    }
  }

  /** Makes each flush fail from now on. */
  void failOnFlush() {
    failsOnFlush = true;
  }

  int status() {
    return status;
  }

  String text() {
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
