package org.limpetring.engine.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events at the blank lines; the bytes of each event stay unchanged.
 */
final class EventStreamReader {

  /** Maximum size of an event, in bytes. */
  static final int MAX_EVENT_BYTES = 1_048_576;

  private static final String DATA_FIELD = "data:";

  private final InputStream input;

  EventStreamReader(InputStream input) {
    this.input = new BufferedInputStream(input);
  }

  /**
   * Reads the next event including its closing blank line; null at the end of the stream.
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

  /** Returns the text of the first data line of an event, or an empty string if there is none. */
  static String data(byte[] event) {
    String text = new String(event, StandardCharsets.UTF_8);
    for (String line : text.lines().toList()) {
      if (line.startsWith(DATA_FIELD)) {
        return line.substring(DATA_FIELD.length()).trim();
      }
    }
    return "";
  }

  /** An event exceeds {@link #MAX_EVENT_BYTES}. */
  static final class EventTooLongException extends IOException {
    private static final long serialVersionUID = 1L;

    EventTooLongException() {
      super("event longer than " + MAX_EVENT_BYTES + " bytes");
    }
  }
}
