package org.limpetring.entry.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;

/**
 * Decoder of one connection's responses; closes the connection on bytes that belong to no response.
 *
 * <p>The decoder keeps the state of an incomplete head, so even one byte that is decoded while no
 * response is awaited becomes part of the next one.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private boolean isAwaitingResponse;
  private boolean isHeadRequest;

  ResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** Starts to decode the response to a request. */
  void awaitResponse(HttpMethod requestMethod) {
    isAwaitingResponse = true;
    isHeadRequest = requestMethod.equals(HttpMethod.HEAD);
  }

  /** Ends the response; returns whether bytes were received behind it. */
  boolean endResponse() {
    isAwaitingResponse = false;
    return actualReadableBytes() > 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (isAwaitingResponse) {
      super.channelRead(context, message);
      return;
    }
    ReferenceCountUtil.release(message);
    Channels.close(context);
  }

  /** The decoder takes the first word of a line for the name, whether or not a colon follows. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    int at = start + length;
    while (at < line.length && (line[at] == ' ' || line[at] == '\t')) {
      at++;
    }
    if (at >= line.length || line[at] != ':') {
      throw new IllegalArgumentException("header field without a colon after its name");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return isHeadRequest || super.isContentAlwaysEmpty(message);
  }
}
