package org.limpetring.entry;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;

/**
 * Structured log: one JSON object per line, with the event numbers of {@link LogEvent}.
 *
 * <p>Writing never blocks on I/O: lines go into a bounded buffer, which a background thread flushes
 * to the output. Lines that exceed the buffer are dropped and counted.
 */
public final class DecisionLog {

  /** Buffer length from which new lines are dropped. */
  private static final int MAX_BUFFERED_CHARS = 262_144;

  /** Flush interval; a longer one means fewer wake-ups but more delay. */
  private static final long FLUSH_INTERVAL_MS = 250;

  private final OutputStream output;
  private final Clock wallClock;
  private final StringBuilder buffer = new StringBuilder();
  private long droppedCount;
  private volatile boolean isClosing;

  /** Creates a log to a stream; {@link #start} starts the background flush. */
  public DecisionLog(OutputStream output, Clock wallClock) {
    this.output = output;
    this.wallClock = wallClock;
  }

  /** Creates and starts a log to standard output. */
  public static DecisionLog standardOutput() {
    DecisionLog log =
        new DecisionLog(new FileOutputStream(java.io.FileDescriptor.out), Clock.wall());
    log.start();
    return log;
  }

  private void start() {
    Thread writer = new Thread(this::drainBuffer, "log");
    writer.setDaemon(true);
    writer.start();
  }

  private void drainBuffer() {
    while (!isClosing) {
      flush();
      try {
        Thread.sleep(FLUSH_INTERVAL_MS);
      } catch (InterruptedException stop) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Logs an event with its fields, given as alternating names and values. */
  public void write(LogEvent event, Object... fields) {
    synchronized (buffer) {
      if (buffer.length() > MAX_BUFFERED_CHARS) {
        droppedCount++;
        return;
      }
      buffer.append("{\"t\":").append(wallClock.nowMs());
      buffer.append(",\"event\":").append(event.number());
      buffer.append(",\"name\":\"").append(event.name()).append('"');
      for (int i = 0; i + 1 < fields.length; i += 2) {
        buffer.append(",\"").append(fields[i]).append("\":");
        appendValue(fields[i + 1]);
      }
      buffer.append("}\n");
    }
  }

  private void appendValue(Object value) {
    if (value instanceof Number || value instanceof Boolean) {
      buffer.append(value);
      return;
    }
    buffer.append('"');
    String text = String.valueOf(value);
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        buffer.append('\\').append(c);
      } else if (c < ' ') {
        buffer.append(' ');
      } else {
        buffer.append(c);
      }
    }
    buffer.append('"');
  }

  /** Writes the buffered lines to the output. */
  public void flush() {
    String lines;
    long dropped;
    synchronized (buffer) {
      lines = buffer.toString();
      buffer.setLength(0);
      dropped = droppedCount;
      droppedCount = 0;
    }
    if (dropped > 0) {
      write(LogEvent.LINES_DROPPED, "count", dropped);
    }
    if (lines.isEmpty()) {
      return;
    }
    try {
      output.write(lines.getBytes(StandardCharsets.UTF_8));
      output.flush();
    } catch (IOException closed) {
      isClosing = true; // output closed by its reader; there is nowhere to report this
    }
  }
}
