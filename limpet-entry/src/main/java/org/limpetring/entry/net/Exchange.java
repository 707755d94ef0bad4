package org.limpetring.entry.net;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import org.jspecify.annotations.Nullable;

/** One request to an upstream and its answer. */
public final class Exchange {

  final FullHttpRequest request;
  final ExchangeListener listener;
  @Nullable Channel channel;
  boolean isOver;
  boolean isWritten;
  boolean isResponseStarted;

  Exchange(FullHttpRequest request, ExchangeListener listener) {
    this.request = request;
    this.listener = listener;
  }

  /** Gives the exchange up and closes its connection; the listener hears nothing more. */
  public void cancel() {
    if (isOver) {
      return;
    }
    isOver = true;
    if (channel != null) {
      Channels.close(channel);
    }
  }

  /** Stops or resumes reading of the answer, for callers that read slowly. */
  public void setReading(boolean isReading) {
    if (channel != null && !isOver) {
      channel.config().setAutoRead(isReading);
    }
  }

  void fail(SendFailure failure) {
    if (isOver) {
      return;
    }
    isOver = true;
    listener.onFailure(failure);
  }
}
