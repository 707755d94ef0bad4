package org.limpetring.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.net.BufferBudget;

/** Body of a response that is buffered until it is complete, within the daemon's budget. */
final class ResponseBuffer {

  /** Result of adding bytes. */
  enum Appended {
    OK,
    /** The body exceeds what one response may have. */
    TOO_LONG,
    /** The daemon buffers as much as it may for all responses. */
    NO_ROOM
  }

  /** Largest response body that is buffered before it is forwarded. */
  private static final int MAX_BYTES = 8_388_608;

  private static final int MIN_BYTES = 256;

  private final BufferBudget.Account account;
  private @Nullable ByteBuf body;

  ResponseBuffer(BufferBudget.Account account) {
    this.account = account;
  }

  /** Adds bytes unless a limit is exceeded; the caller keeps its reference. */
  Appended append(ByteBuf data) {
    ByteBuf buffer = body;
    int length = data.readableBytes() + (buffer == null ? 0 : buffer.readableBytes());
    if (length > MAX_BYTES) {
      return Appended.TOO_LONG;
    }
    if (buffer == null || buffer.capacity() < length) {
      int doubled = buffer == null ? MIN_BYTES : Math.min(MAX_BYTES, 2 * buffer.capacity());
      int capacity = Math.max(length, doubled);
      if (!account.tryHold(capacity)) {
        return Appended.NO_ROOM;
      }
      if (buffer == null) {
        buffer = data.alloc().heapBuffer(capacity);
        body = buffer;
      } else {
        buffer.capacity(capacity);
      }
    }
    buffer.writeBytes(data);
    return Appended.OK;
  }

  /** Returns the body, to be released by the caller, and leaves this buffer empty. */
  ByteBuf take() {
    ByteBuf taken = body == null ? Unpooled.EMPTY_BUFFER : body;
    account.release();
    body = null;
    return taken;
  }

  /** Discards the body. */
  void clear() {
    take().release();
  }
}
