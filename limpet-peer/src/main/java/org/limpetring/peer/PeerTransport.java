package org.limpetring.peer;

import java.util.concurrent.CompletableFuture;
import org.limpetring.peer.proto.Envelope;

/**
 * Carries messages between daemons, at most once and without a promise of order.
 *
 * <p>The transport sets the fields {@code sender}, {@code correlation} and {@code response}.
 */
public interface PeerTransport extends AutoCloseable {

  /** Sends a message without response; it is dropped and counted where it cannot be delivered. */
  void send(PeerAddress to, Envelope message);

  /**
   * Sends a request. The future ends with the response, or exceptionally with a {@link
   * PeerException} after at most {@code timeoutMs}.
   */
  CompletableFuture<Envelope> request(PeerAddress to, Envelope message, long timeoutMs);

  /** Takes frames from peers from now on; called once. */
  void listen(PeerHandler handler);

  /** Closes all connections; open requests fail. */
  @Override
  void close();
}
