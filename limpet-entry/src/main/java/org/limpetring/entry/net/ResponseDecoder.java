package org.limpetring.entry.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decoder of one connection's responses that knows whether bytes follow the last response. */
final class ResponseDecoder extends HttpResponseDecoder {

  private boolean isHeadRequest;

  ResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** Sets whether the response in turn answers a HEAD request and so has no body. */
  void setHeadRequest(boolean isHead) {
    isHeadRequest = isHead;
  }

  /** Whether bytes were received that no response has consumed. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return isHeadRequest || super.isContentAlwaysEmpty(message);
  }
}
