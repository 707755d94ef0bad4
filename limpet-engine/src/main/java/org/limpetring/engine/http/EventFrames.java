package org.limpetring.engine.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/** Cuts a server-sent event stream at its blank lines and passes the bytes on unchanged. */
final class EventFrames {

  /** Longest permitted event, in bytes. */
  static final int MAX_EVENT_BYTES = 1_048_576;

  private static final String DATA = "data:";

  private final InputStream input;

  EventFrames(InputStream input) {
    this.input = new BufferedInputStream(input);
  }

  /**
   * The next event with its closing blank line, or null at the end of the stream.
   *
   * @throws EventTooLongException if the event exceeds {@link #MAX_EVENT_BYTES}
   */
  byte @Nullable [] next() throws IOException {
    ByteArrayOutputStream event = new ByteArrayOutputStream();
    int lineLength = 0;
    int read = input.read();
    while (read >= 0) {
      event.write(read);
      if (event.size() > MAX_EVENT_BYTES) {
        throw new EventTooLongException();
      }
      if (read == '\n') {
        if (lineLength == 0) {
          return event.toByteArray();
        }
        lineLength = 0;
      } else if (read != '\r') {
        lineLength++;
      }
      read = input.read();
    }
    return null;
  }

  /** The text of an event's data line; empty where there is none. */
  static String data(byte[] event) {
    String text = new String(event, StandardCharsets.UTF_8);
    for (String line : text.lines().toList()) {
      if (line.startsWith(DATA)) {
        return line.substring(DATA.length()).trim();
      }
    }
    return "";
  }

  /** An event exceeds the limit. */
  static final class EventTooLongException extends IOException {
    private static final long serialVersionUID = 1L;

    EventTooLongException() {
      super("event longer than " + MAX_EVENT_BYTES + " bytes");
    }
  }
}
