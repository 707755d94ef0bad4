package org.limpetring.peer;

import org.jspecify.annotations.Nullable;
import org.limpetring.peer.proto.Envelope;

/** Handles messages from peers; called concurrently from several threads. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles one message.
   *
   * @return the response, or null if the message has none
   */
  @Nullable Envelope handle(Envelope message);
}
