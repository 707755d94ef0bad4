package org.limpetring.peer.memory;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.peer.PeerAddress;
import org.limpetring.peer.PeerException;
import org.limpetring.peer.PeerFailure;
import org.limpetring.peer.PeerHandler;
import org.limpetring.peer.PeerSettings;
import org.limpetring.peer.PeerTransport;
import org.limpetring.peer.proto.Envelope;

/** A daemon's transport in a {@link MemoryPeerNetwork}. */
final class MemoryPeerTransport implements PeerTransport {

  private final MemoryPeerNetwork network;
  private final DaemonId self;
  private final PeerAddress address;
  private final Map<Long, CompletableFuture<Envelope>> pendingRequests = new HashMap<>();
  private @Nullable PeerHandler handler;
  private long lastCorrelation;
  private boolean closed;

  MemoryPeerTransport(MemoryPeerNetwork network, DaemonId self, PeerAddress address) {
    this.network = network;
    this.self = self;
    this.address = address;
  }

  @Override
  public void send(PeerAddress to, Envelope message) {
    transmit(to, message.toBuilder().clearCorrelation().clearResponse());
  }

  @Override
  public CompletableFuture<Envelope> request(PeerAddress to, Envelope message, long timeoutMs) {
    CompletableFuture<Envelope> future = new CompletableFuture<>();
    if (closed) {
      future.completeExceptionally(new PeerException(PeerFailure.CLOSED, "transport closed"));
      return future;
    }
    if (message.getSerializedSize() > PeerSettings.MAX_FRAME_BYTES) {
      future.completeExceptionally(new PeerException(PeerFailure.TOO_LARGE, "request"));
      return future;
    }
    long correlation = ++lastCorrelation;
    pendingRequests.put(correlation, future);
    network.scheduleTimeout(future, timeoutMs);
    transmit(to, message.toBuilder().setCorrelation(correlation).clearResponse());
    return future.whenComplete((response, failure) -> pendingRequests.remove(correlation));
  }

  @Override
  public void listen(PeerHandler newHandler) {
    this.handler = newHandler;
  }

  @Override
  public void close() {
    closed = true;
    network.remove(address, this);
    for (CompletableFuture<Envelope> future : List.copyOf(pendingRequests.values())) {
      future.completeExceptionally(new PeerException(PeerFailure.CLOSED, "transport closed"));
    }
  }

  void receive(PeerAddress from, Envelope message) {
    if (message.getResponse()) {
      @Nullable CompletableFuture<Envelope> future = pendingRequests.get(message.getCorrelation());
      if (future != null) {
        future.complete(message);
      }
      return;
    }
    if (handler == null) {
      return;
    }
    @Nullable Envelope response = handler.handle(message);
    if (response != null && message.getCorrelation() != 0) {
      transmit(
          from, response.toBuilder().setCorrelation(message.getCorrelation()).setResponse(true));
    }
  }

  private void transmit(PeerAddress to, Envelope.Builder message) {
    Envelope envelope = message.setSender(self.value()).build();
    if (!closed && envelope.getSerializedSize() <= PeerSettings.MAX_FRAME_BYTES) {
      network.transmit(address, to, envelope);
    }
  }
}
