package org.limpetring.peer.relay;

import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.limpetring.base.Metrics;
import org.limpetring.peer.PeerAddress;
import org.limpetring.peer.PeerException;
import org.limpetring.peer.PeerTransport;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.peer.proto.PlatformRelayRequest;
import org.limpetring.peer.proto.PlatformRelayRequest.Kind;
import org.limpetring.peer.proto.PlatformRelayResponse;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WriteResult;

/**
 * Object store that calls the platform directly and falls back to relaying through a live peer.
 *
 * <p>A write is relayed only if no earlier attempt can have reached the platform. A relayed watch
 * returns immediately with the changes so far.
 */
public final class RelayingObjectStore implements ObjectStore {

  private static final int MAX_RELAY_PEERS = 2;

  private final ObjectStore direct;
  private final PlatformCircuitBreaker breaker;
  private final PeerTransport transport;
  private final Supplier<List<PeerAddress>> relayPeers;
  private final long relayTimeoutMs;

  /**
   * Creates the store.
   *
   * @param relayPeers supplies live peers, best first; at most two are tried per call
   * @param relayTimeoutMs timeout of a call relayed by one peer
   */
  public RelayingObjectStore(
      ObjectStore direct,
      PlatformCircuitBreaker breaker,
      PeerTransport transport,
      Supplier<List<PeerAddress>> relayPeers,
      long relayTimeoutMs) {
    this.direct = direct;
    this.breaker = breaker;
    this.transport = transport;
    this.relayPeers = relayPeers;
    this.relayTimeoutMs = relayTimeoutMs;
  }

  @Override
  public ReadResult get(String key) {
    if (!breaker.isOpen()) {
      ReadResult result = direct.get(key);
      breaker.recordCall(!(result instanceof ReadResult.Unavailable));
      if (!(result instanceof ReadResult.Unavailable)) {
        return result;
      }
    }
    return RelayCodec.readResult(key, relayRead(request(Kind.GET, key)));
  }

  @Override
  public ListResult list(String prefix) {
    if (!breaker.isOpen()) {
      ListResult result = direct.list(prefix);
      breaker.recordCall(!(result instanceof ListResult.Unavailable));
      if (!(result instanceof ListResult.Unavailable)) {
        return result;
      }
    }
    return RelayCodec.listResult(relayRead(request(Kind.LIST, prefix)));
  }

  @Override
  public WriteResult put(String key, String value, long expectedVersion) {
    if (!breaker.isOpen()) {
      WriteResult result = recordOutcome(direct.put(key, value, expectedVersion));
      if (!(result instanceof WriteResult.Unavailable)) {
        return result;
      }
    }
    return relayWrite(request(Kind.PUT, key).setValue(value).setExpectedVersion(expectedVersion));
  }

  @Override
  public WriteResult delete(String key, long expectedVersion) {
    if (!breaker.isOpen()) {
      WriteResult result = recordOutcome(direct.delete(key, expectedVersion));
      if (!(result instanceof WriteResult.Unavailable)) {
        return result;
      }
    }
    return relayWrite(request(Kind.DELETE, key).setExpectedVersion(expectedVersion));
  }

  @Override
  public WatchResult watch(String prefix, long afterRevision, long waitMs) {
    if (!breaker.isOpen()) {
      WatchResult result = direct.watch(prefix, afterRevision, waitMs);
      breaker.recordCall(!(result instanceof WatchResult.Unavailable));
      if (!(result instanceof WatchResult.Unavailable)) {
        return result;
      }
    }
    return RelayCodec.watchResult(
        relayRead(request(Kind.WATCH, prefix).setAfterRevision(afterRevision)));
  }

  private WriteResult recordOutcome(WriteResult result) {
    breaker.recordCall(
        result instanceof WriteResult.Written || result instanceof WriteResult.Conflict);
    return result;
  }

  private PlatformRelayResponse relayRead(PlatformRelayRequest.Builder request) {
    PlatformRelayResponse last = RelayCodec.unavailable("no way to the platform");
    for (PeerAddress relayPeer : selectRelayPeers()) {
      try {
        last = requestRelay(relayPeer, request);
        if (last.getResult() != PlatformRelayResponse.Result.UNAVAILABLE) {
          return countRelayCall(request, last);
        }
      } catch (PeerException failure) {
        last = RelayCodec.unavailable(String.valueOf(failure.getMessage()));
      }
    }
    return countRelayCall(request, last);
  }

  private WriteResult relayWrite(PlatformRelayRequest.Builder request) {
    PlatformRelayResponse last = RelayCodec.unavailable("no way to the platform");
    for (PeerAddress relayPeer : selectRelayPeers()) {
      try {
        last = requestRelay(relayPeer, request);
        if (last.getResult() != PlatformRelayResponse.Result.UNAVAILABLE) {
          return RelayCodec.writeResult(countRelayCall(request, last));
        }
      } catch (PeerException failure) {
        if (failure.failure().mayHaveArrived()) {
          Metrics.PLATFORM_CALLS.labelValues("relay_write", "unknown").inc();
          return new WriteResult.Unknown(String.valueOf(failure.getMessage()));
        }
        last = RelayCodec.unavailable(String.valueOf(failure.getMessage()));
      }
    }
    return RelayCodec.writeResult(countRelayCall(request, last));
  }

  private PlatformRelayResponse requestRelay(
      PeerAddress relayPeer, PlatformRelayRequest.Builder request) {
    Envelope message = Envelope.newBuilder().setPlatformRelayRequest(request).build();
    try {
      return transport
          .request(relayPeer, message, relayTimeoutMs)
          .join()
          .getPlatformRelayResponse();
    } catch (CompletionException failure) {
      if (failure.getCause() instanceof PeerException known) {
        throw known;
      }
      throw failure;
    }
  }

  private List<PeerAddress> selectRelayPeers() {
    List<PeerAddress> all = relayPeers.get();
    return all.subList(0, Math.min(MAX_RELAY_PEERS, all.size()));
  }

  private static PlatformRelayRequest.Builder request(Kind kind, String key) {
    return PlatformRelayRequest.newBuilder().setKind(kind).setKey(key);
  }

  private static PlatformRelayResponse countRelayCall(
      PlatformRelayRequest.Builder request, PlatformRelayResponse response) {
    boolean isWrite = request.getKind() == Kind.PUT || request.getKind() == Kind.DELETE;
    String result = response.getResult().name().toLowerCase(java.util.Locale.ROOT);
    Metrics.PLATFORM_CALLS.labelValues(isWrite ? "relay_write" : "relay_read", result).inc();
    return response;
  }
}
