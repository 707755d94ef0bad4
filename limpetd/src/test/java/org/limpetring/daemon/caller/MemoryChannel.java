package org.limpetring.daemon.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Keeps what a caller would receive. */
final class MemoryChannel implements AnswerChannel {

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private int status;
  private boolean broken;

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
    if (broken) {
      throw new IOException("caller left");
    }
  }

  /** Lets each flush fail from now on. */
  void breakOnFlush() {
    broken = true;
  }

  int status() {
    return status;
  }

  String text() {
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
