package org.limpetring.entry.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decoder of one caller's requests that decodes a head only when all of it has arrived, and nothing
 * while a request is in progress.
 *
 * <p>Until then the bytes stay as they are, since the fields of a head occupy many times its bytes
 * once they are objects. The owner is told what a head will occupy before it is decoded.
 */
final class CallerDecoder extends HttpRequestDecoder {

  /** Receives the sizes of what the decoder holds and is about to create. */
  interface Owner {

    /** A head of this size is complete; returns false if it must not be decoded. */
    boolean onHeadComplete(int bytes, int lines);

    /** A head exceeds its limit without being complete. */
    void onHeadTooLarge();

    /** Bytes were read; the decoder keeps a buffer of this capacity, or none. */
    void onRead(int undecodedBytes);

    /** The decoder has more to decode, but other connections have their turn first. */
    void onYield();
  }

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 65_536;

  /**
   * Steps of decoding in a turn of the event loop; a read of one-byte chunks takes some thousands,
   * and a crowd of such connections would leave no time for others.
   */
  private static final int MAX_STEPS_PER_TURN = 256;

  /** Trailers are not forwarded, so they are not kept either. */
  private static final HttpHeadersFactory TRAILERS =
      new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
          return new DiscardingHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
          return new DiscardingHeaders();
        }
      };

  private final Owner owner;
  private final int maxHeadBytes;
  private boolean isAwaitingHead = true;
  private boolean isPaused;
  private boolean isDiscarding;

  /** Bytes of the incomplete head that were searched for its end. */
  private int scannedBytes;

  private int lineCount;
  private int stepsInTurn;

  CallerDecoder(int maxHeaderBytes, Owner owner) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setTrailersFactory(TRAILERS));
    this.owner = owner;
    this.maxHeadBytes = maxHeaderBytes + MAX_LINE_BYTES;
  }

  /** Fields are dropped as they are decoded. */
  private static final class DiscardingHeaders extends DefaultHttpHeaders {

    @Override
    public HttpHeaders add(String name, Object value) {
      return this;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      return this;
    }
  }

  /** Stops or resumes decoding; bytes that are read meanwhile are kept. */
  void setPaused(boolean isPaused) {
    this.isPaused = isPaused;
  }

  /** Drops all bytes from now on. */
  void discard() {
    isDiscarding = true;
  }

  /** Whether bytes were read that are not decoded yet. */
  boolean hasUndecoded() {
    return actualReadableBytes() > 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    stepsInTurn = 0;
    super.channelRead(context, message);
    ByteBuf left = internalBuffer();
    owner.onRead(left.isReadable() ? left.capacity() : 0);
    if (stepsInTurn > MAX_STEPS_PER_TURN) {
      owner.onYield();
    }
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (isDiscarding) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (isPaused || stepsInTurn > MAX_STEPS_PER_TURN) {
      return;
    }
    stepsInTurn++;
    if (stepsInTurn > MAX_STEPS_PER_TURN || (isAwaitingHead && !mayDecodeHead(in))) {
      return;
    }
    super.decode(context, in, out);
    if (!out.isEmpty()
        && out.get(out.size() - 1) instanceof LastHttpContent last
        && last.decoderResult().isSuccess()) {
      isAwaitingHead = true;
      scannedBytes = 0;
      lineCount = 0;
    }
  }

  /** Whether a head is complete and may be decoded. */
  private boolean mayDecodeHead(ByteBuf in) {
    if (scannedBytes == 0) {
      skipBlanks(in);
    }
    if (!isHeadComplete(in)) {
      if (in.readableBytes() > maxHeadBytes) {
        isDiscarding = true;
        in.skipBytes(in.readableBytes());
        owner.onHeadTooLarge();
      }
      return false;
    }
    isAwaitingHead = false;
    return owner.onHeadComplete(scannedBytes, lineCount);
  }

  /** Skips what the decoder skips before a head, so that it is not taken for the head's end. */
  private static void skipBlanks(ByteBuf in) {
    while (in.isReadable()) {
      int first = in.getByte(in.readerIndex()) & 0xff;
      if (!Character.isISOControl(first) && !Character.isWhitespace(first)) {
        return;
      }
      in.skipBytes(1);
    }
  }

  /** Searches the bytes that have come since the last search for an empty line. */
  private boolean isHeadComplete(ByteBuf in) {
    int start = in.readerIndex();
    int end = in.writerIndex();
    int at = start + scannedBytes;
    while (at < end) {
      int newline = in.indexOf(at, end, (byte) '\n');
      if (newline < 0) {
        scannedBytes = end - start;
        return false;
      }
      lineCount++;
      at = newline + 1;
      scannedBytes = at - start;
      boolean isLineEmpty =
          newline > start
              && (in.getByte(newline - 1) == '\n'
                  || (in.getByte(newline - 1) == '\r'
                      && newline - 1 > start
                      && in.getByte(newline - 2) == '\n'));
      if (isLineEmpty) {
        return true;
      }
    }
    return false;
  }
}
