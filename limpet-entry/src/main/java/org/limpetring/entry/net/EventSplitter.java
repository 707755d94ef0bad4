package org.limpetring.entry.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream of server-sent events at its blank lines and remembers the last event's id.
 *
 * <p>Only whole events go on, so that another run can go on after the last one.
 */
public final class EventSplitter {

  /** Longest event, in bytes. */
  private static final int MAX_EVENT_BYTES = 1_048_576;

  private final ByteBuf pending;
  private int scanned;
  private int lineStart;
  private @Nullable String lastId;
  private @Nullable String pendingId;
  private long eventCount;

  /** Empty splitter; must be released. */
  public EventSplitter(ByteBufAllocator allocator) {
    this.pending = allocator.heapBuffer(512);
  }

  /** Id of the last whole event, or null. */
  public @Nullable String lastId() {
    return lastId;
  }

  /** Whole events so far. */
  public long eventCount() {
    return eventCount;
  }

  /** Whether the stream so far ends at the end of an event. */
  public boolean isAtBoundary() {
    return !pending.isReadable();
  }

  /** Forgets a broken event, before another run goes on. */
  public void dropPartial() {
    pending.clear();
    scanned = 0;
    lineStart = 0;
    pendingId = null;
  }

  /**
   * Takes bytes; returns the whole events among them, to be released by the caller, or null.
   *
   * @throws IllegalStateException if an event is too long
   */
  public @Nullable ByteBuf feed(ByteBuf data) {
    pending.writeBytes(data);
    int end = -1;
    int limit = pending.writerIndex();
    int at = pending.readerIndex() + scanned;
    int start = pending.readerIndex() + lineStart;
    while (at < limit) {
      int newline = pending.indexOf(at, limit, (byte) '\n');
      if (newline < 0) {
        at = limit;
        break;
      }
      int length = newline - start;
      if (length == 0 || (length == 1 && pending.getByte(start) == '\r')) {
        end = newline + 1;
        eventCount++;
        lastId = pendingId == null ? lastId : pendingId;
        pendingId = null;
      } else {
        readLine(start, length);
      }
      start = newline + 1;
      at = start;
    }
    if (end < 0) {
      scanned = at - pending.readerIndex();
      lineStart = start - pending.readerIndex();
      if (pending.readableBytes() > MAX_EVENT_BYTES) {
        throw new IllegalStateException("event longer than " + MAX_EVENT_BYTES + " bytes");
      }
      return null;
    }
    ByteBuf events = pending.readBytes(end - pending.readerIndex());
    scanned = at - end;
    lineStart = start - end;
    pending.discardReadBytes();
    return events;
  }

  private void readLine(int start, int length) {
    boolean isId =
        length > 3
            && pending.getByte(start) == 'i'
            && pending.getByte(start + 1) == 'd'
            && pending.getByte(start + 2) == ':';
    if (isId) {
      pendingId =
          pending
              .toString(start + 3, length - 3, java.nio.charset.StandardCharsets.US_ASCII)
              .trim();
    }
  }

  /** Frees the buffer. */
  public void release() {
    pending.release();
  }
}
