package org.limpetring.peer;

import java.util.concurrent.CompletableFuture;
import org.limpetring.peer.proto.Envelope;

/**
 * Delivers messages between daemons at most once and without an ordering guarantee.
 *
 * <p>The transport sets the fields {@code sender}, {@code correlation} and {@code response}.
 */
public interface PeerTransport extends AutoCloseable {

  /** Sends a message without a response; drops and counts it if it cannot be sent. */
  void send(PeerAddress to, Envelope message);

  /**
   * Sends a request. The future completes with the response, or exceptionally with a {@link
   * PeerException} after at most {@code timeoutMs}.
   */
  CompletableFuture<Envelope> request(PeerAddress to, Envelope message, long timeoutMs);

  /** Starts accepting messages from peers; may be called once. */
  void listen(PeerHandler handler);

  /** Closes all connections and fails the pending requests. */
  @Override
  void close();
}
