package org.limpetring.entry.net;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encoder of the responses to one caller; responses to HEAD requests have no body. */
final class CallerEncoder extends HttpResponseEncoder {

  private boolean isHeadRequest;

  /** Sets whether the next response answers a HEAD request. */
  void setHeadRequest(boolean isHeadRequest) {
    this.isHeadRequest = isHeadRequest;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    return isHeadRequest || super.isContentAlwaysEmpty(response);
  }
}
