package org.limpetring.entry.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives one answer; called on the event loop, {@link #onEnd} or {@link #onFailure} last. */
public interface ExchangeListener {

  /** The request is on its way. */
  default void onSent() {}

  /** The head of an answer; returns false if it belongs to another request and is to be skipped. */
  boolean onHead(HttpResponse head);

  /** Part of the body; the buffer is valid during the call only. */
  void onBody(ByteBuf data);

  /** The answer is complete. */
  void onEnd();

  /** The exchange failed. */
  void onFailure(SendFailure failure);
}
