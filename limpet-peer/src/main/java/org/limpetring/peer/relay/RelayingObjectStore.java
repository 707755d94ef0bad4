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
 * Object store that goes to the platform directly and, where this fails, through a live peer.
 *
 * <p>A write goes to a peer only if no earlier way can have taken it to the platform. A carried
 * watch returns at once with what has changed so far.
 */
public final class RelayingObjectStore implements ObjectStore {

  private static final int MAX_CARRIERS = 2;

  private final ObjectStore direct;
  private final PlatformCircuitBreaker path;
  private final PeerTransport transport;
  private final Supplier<List<PeerAddress>> carriers;
  private final long relayTimeoutMs;

  /**
   * Creates the store.
   *
   * @param carriers live peers, best first; two at most are asked for one call
   * @param relayTimeoutMs longest time for a peer to carry a call
   */
  public RelayingObjectStore(
      ObjectStore direct,
      PlatformCircuitBreaker path,
      PeerTransport transport,
      Supplier<List<PeerAddress>> carriers,
      long relayTimeoutMs) {
    this.direct = direct;
    this.path = path;
    this.transport = transport;
    this.carriers = carriers;
    this.relayTimeoutMs = relayTimeoutMs;
  }

  @Override
  public ReadResult get(String key) {
    if (!path.isBroken()) {
      ReadResult result = direct.get(key);
      path.onCall(!(result instanceof ReadResult.Unavailable));
      if (!(result instanceof ReadResult.Unavailable)) {
        return result;
      }
    }
    return RelayCodec.readResult(key, relayRead(request(Kind.GET, key)));
  }

  @Override
  public ListResult list(String prefix) {
    if (!path.isBroken()) {
      ListResult result = direct.list(prefix);
      path.onCall(!(result instanceof ListResult.Unavailable));
      if (!(result instanceof ListResult.Unavailable)) {
        return result;
      }
    }
    return RelayCodec.listResult(relayRead(request(Kind.LIST, prefix)));
  }

  @Override
  public WriteResult put(String key, String value, long expectedVersion) {
    if (!path.isBroken()) {
      WriteResult result = noted(direct.put(key, value, expectedVersion));
      if (!(result instanceof WriteResult.Unavailable)) {
        return result;
      }
    }
    return relayWrite(request(Kind.PUT, key).setValue(value).setExpectedVersion(expectedVersion));
  }

  @Override
  public WriteResult delete(String key, long expectedVersion) {
    if (!path.isBroken()) {
      WriteResult result = noted(direct.delete(key, expectedVersion));
      if (!(result instanceof WriteResult.Unavailable)) {
        return result;
      }
    }
    return relayWrite(request(Kind.DELETE, key).setExpectedVersion(expectedVersion));
  }

  @Override
  public WatchResult watch(String prefix, long afterRevision, long waitMs) {
    if (!path.isBroken()) {
      WatchResult result = direct.watch(prefix, afterRevision, waitMs);
      path.onCall(!(result instanceof WatchResult.Unavailable));
      if (!(result instanceof WatchResult.Unavailable)) {
        return result;
      }
    }
    return RelayCodec.watchResult(
        relayRead(request(Kind.WATCH, prefix).setAfterRevision(afterRevision)));
  }

  private WriteResult noted(WriteResult result) {
    path.onCall(result instanceof WriteResult.Written || result instanceof WriteResult.Conflict);
    return result;
  }

  private PlatformRelayResponse relayRead(PlatformRelayRequest.Builder request) {
    PlatformRelayResponse last = RelayCodec.unavailable("no way to the platform");
    for (PeerAddress carrier : someCarriers()) {
      try {
        last = ask(carrier, request);
        if (last.getResult() != PlatformRelayResponse.Result.UNAVAILABLE) {
          return counted(request, last);
        }
      } catch (PeerException failure) {
        last = RelayCodec.unavailable(String.valueOf(failure.getMessage()));
      }
    }
    return counted(request, last);
  }

  private WriteResult relayWrite(PlatformRelayRequest.Builder request) {
    PlatformRelayResponse last = RelayCodec.unavailable("no way to the platform");
    for (PeerAddress carrier : someCarriers()) {
      try {
        last = ask(carrier, request);
        if (last.getResult() != PlatformRelayResponse.Result.UNAVAILABLE) {
          return RelayCodec.writeResult(counted(request, last));
        }
      } catch (PeerException failure) {
        if (failure.failure().mayHaveArrived()) {
          Metrics.PLATFORM_CALLS.labelValues("relay_write", "unknown").inc();
          return new WriteResult.Unknown(String.valueOf(failure.getMessage()));
        }
        last = RelayCodec.unavailable(String.valueOf(failure.getMessage()));
      }
    }
    return RelayCodec.writeResult(counted(request, last));
  }

  private PlatformRelayResponse ask(PeerAddress carrier, PlatformRelayRequest.Builder request) {
    Envelope message = Envelope.newBuilder().setPlatformRelayRequest(request).build();
    try {
      return transport.request(carrier, message, relayTimeoutMs).join().getPlatformRelayResponse();
    } catch (CompletionException failure) {
      if (failure.getCause() instanceof PeerException known) {
        throw known;
      }
      throw failure;
    }
  }

  private List<PeerAddress> someCarriers() {
    List<PeerAddress> all = carriers.get();
    return all.subList(0, Math.min(MAX_CARRIERS, all.size()));
  }

  private static PlatformRelayRequest.Builder request(Kind kind, String key) {
    return PlatformRelayRequest.newBuilder().setKind(kind).setKey(key);
  }

  private static PlatformRelayResponse counted(
      PlatformRelayRequest.Builder request, PlatformRelayResponse response) {
    boolean isWrite = request.getKind() == Kind.PUT || request.getKind() == Kind.DELETE;
    String result = response.getResult().name().toLowerCase(java.util.Locale.ROOT);
    Metrics.PLATFORM_CALLS.labelValues(isWrite ? "relay_write" : "relay_read", result).inc();
    return response;
  }
}
