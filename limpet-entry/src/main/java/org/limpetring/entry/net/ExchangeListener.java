package org.limpetring.entry.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives a response; called on the event loop, with {@link #onEnd} or {@link #onFailure} last.
 */
public interface ExchangeListener {

  /** Asked when a new connection was established, before the request is written to it. */
  default boolean isStillWanted() {
    return true;
  }

  /** Called when the request was written. */
  default void onSent() {}

  /** Called with the head; returns false to skip a response that belongs to another request. */
  boolean onHead(HttpResponse head);

  /** Called with part of the body; the buffer is valid only during the call. */
  void onBody(ByteBuf data);

  /** Called when the response is complete. */
  void onEnd();

  /** Called when the exchange failed. */
  void onFailure(SendFailure failure);
}
