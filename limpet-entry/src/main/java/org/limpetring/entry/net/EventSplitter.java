package org.limpetring.entry.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events at event boundaries and records the last event id.
 *
 * <p>Passes on only complete events, so that another run can resume after the last one.
 */
public final class EventSplitter {

  /** Size limit of an event, in bytes. */
  private static final int MAX_EVENT_BYTES = 1_048_576;

  /** Size of the buffer between events, in bytes. */
  private static final int INITIAL_BYTES = 512;

  private final ByteBuf pending;
  private int scanned;
  private int lineStart;
  private @Nullable String lastId;
  private @Nullable String pendingId;
  private long eventCount;
  private boolean isResumed;
  private boolean isOutOfOrder;

  /** Creates an empty splitter, which must be released. */
  public EventSplitter(ByteBufAllocator allocator) {
    this.pending = allocator.heapBuffer(INITIAL_BYTES);
  }

  /** Returns the id of the last complete event, or null. */
  public @Nullable String lastId() {
    return lastId;
  }

  /** Returns the number of complete events. */
  public long eventCount() {
    return eventCount;
  }

  /** Whether no incomplete event is buffered. */
  public boolean isAtBoundary() {
    return !pending.isReadable();
  }

  /** Returns the bytes that the buffer occupies. */
  public int bufferedBytes() {
    return pending.capacity();
  }

  /** Another run of the request continues the stream after its last event. */
  public void resume() {
    dropPartial();
    isResumed = true;
    isOutOfOrder = false;
  }

  /**
   * Whether a resumed run has sent what does not continue the stream: an event without an id, or
   * one that is not after the last. That event and all later ones are withheld.
   */
  public boolean isOutOfOrder() {
    return isOutOfOrder;
  }

  /** Discards an incomplete event before another run resumes the stream. */
  public void dropPartial() {
    pending.clear();
    shrink();
    scanned = 0;
    lineStart = 0;
    pendingId = null;
  }

  /** Returns the memory of a long event. */
  private void shrink() {
    if (pending.capacity() > INITIAL_BYTES && pending.readableBytes() <= INITIAL_BYTES) {
      pending.discardReadBytes().capacity(INITIAL_BYTES);
    }
  }

  /**
   * Adds bytes; returns the events completed by them, to be released by the caller, or null.
   *
   * @throws IllegalStateException if an event exceeds the size limit
   */
  public @Nullable ByteBuf feed(ByteBuf data) {
    if (isOutOfOrder) {
      return null;
    }
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
        if (isResumed && !isAfterLast(pendingId)) {
          isOutOfOrder = true;
          break;
        }
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
    shrink();
    return events;
  }

  private boolean isAfterLast(@Nullable String id) {
    if (id == null || lastId == null) {
      return id != null;
    }
    try {
      return Long.parseLong(id) > Long.parseLong(lastId);
    } catch (NumberFormatException notNumeric) {
      return !id.equals(lastId);
    }
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

  /** Releases the buffer. */
  public void release() {
    pending.release();
  }
}
