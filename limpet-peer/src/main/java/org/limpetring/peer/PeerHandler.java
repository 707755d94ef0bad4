package org.limpetring.peer;

import org.jspecify.annotations.Nullable;
import org.limpetring.peer.proto.Envelope;

/** Receives the messages of peers, on several threads at once. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles one message.
   *
   * @return the response, or null where the message has none
   */
  @Nullable Envelope handle(Envelope message);
}
