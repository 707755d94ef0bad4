package org.limpetring.peer.relay;

import org.limpetring.peer.proto.PlatformRelayRequest;
import org.limpetring.peer.proto.PlatformRelayResponse;
import org.limpetring.peer.proto.PlatformRelayResponse.Result;
import org.limpetring.store.ObjectStore;

/**
 * Executes platform calls on behalf of peers, always directly and never through a third daemon.
 * Rejects calls immediately while the circuit breaker is open, so that relaying does not multiply
 * the calls made during a platform outage.
 */
public final class PlatformRelay {

  private final ObjectStore direct;
  private final PlatformCircuitBreaker breaker;

  /** Creates a relay that executes calls on {@code direct} while {@code breaker} is closed. */
  public PlatformRelay(ObjectStore direct, PlatformCircuitBreaker breaker) {
    this.direct = direct;
    this.breaker = breaker;
  }

  /** Executes the call and returns its result; blocks until the call ends. */
  public PlatformRelayResponse execute(PlatformRelayRequest request) {
    if (breaker.isOpen()) {
      return RelayCodec.unavailable("carrying peer has no way to the platform");
    }
    PlatformRelayResponse response = call(request);
    breaker.recordCall(response.getResult() != Result.UNAVAILABLE);
    return response;
  }

  private PlatformRelayResponse call(PlatformRelayRequest request) {
    return switch (request.getKind()) {
      case GET -> RelayCodec.encode(direct.get(request.getKey()));
      case LIST -> RelayCodec.encode(direct.list(request.getKey()));
      case PUT ->
          RelayCodec.encode(
              direct.put(request.getKey(), request.getValue(), request.getExpectedVersion()));
      case DELETE ->
          RelayCodec.encode(direct.delete(request.getKey(), request.getExpectedVersion()));
      case WATCH ->
          RelayCodec.encode(direct.watch(request.getKey(), request.getAfterRevision(), 0));
      case KIND_UNSPECIFIED, UNRECOGNIZED -> RelayCodec.unavailable("unknown kind of call");
    };
  }
}
