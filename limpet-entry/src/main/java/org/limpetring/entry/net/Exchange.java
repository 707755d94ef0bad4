package org.limpetring.entry.net;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import org.jspecify.annotations.Nullable;

/** A request to an upstream and its response. */
public final class Exchange {

  final FullHttpRequest request;
  final ExchangeListener listener;
  @Nullable Channel channel;
  boolean isDone;
  boolean isWritten;
  boolean isReused;

  Exchange(FullHttpRequest request, ExchangeListener listener) {
    this.request = request;
    this.listener = listener;
  }

  /** Cancels the exchange and closes its connection; the listener is not called again. */
  public void cancel() {
    if (isDone) {
      return;
    }
    isDone = true;
    if (channel != null) {
      Channels.close(channel);
    }
  }

  /** Whether the connection has carried a response to another request before. */
  public boolean isReused() {
    return isReused;
  }

  /** Pauses or resumes reading of the response, as backpressure for slow callers. */
  public void setReading(boolean isReading) {
    if (channel != null && !isDone) {
      channel.config().setAutoRead(isReading);
    }
  }

  void fail(SendFailure failure) {
    if (isDone) {
      return;
    }
    isDone = true;
    listener.onFailure(failure);
  }
}
