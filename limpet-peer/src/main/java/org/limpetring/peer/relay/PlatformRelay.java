package org.limpetring.peer.relay;

import org.limpetring.peer.proto.PlatformRelayRequest;
import org.limpetring.peer.proto.PlatformRelayResponse;
import org.limpetring.peer.proto.PlatformRelayResponse.Result;
import org.limpetring.store.ObjectStore;

/**
 * Carries calls to the platform for peers over this daemon's own way, never over a third daemon.
 * Refuses at once while that way is broken, so that an outage is not multiplied.
 */
public final class PlatformRelay {

  private final ObjectStore direct;
  private final PlatformCircuitBreaker path;

  /** Carries calls to {@code direct} while {@code path} works. */
  public PlatformRelay(ObjectStore direct, PlatformCircuitBreaker path) {
    this.direct = direct;
    this.path = path;
  }

  /** Makes the call and returns its result; blocks as long as the call. */
  public PlatformRelayResponse execute(PlatformRelayRequest request) {
    if (path.isBroken()) {
      return RelayCodec.unavailable("carrying peer has no way to the platform");
    }
    PlatformRelayResponse response = call(request);
    path.onCall(response.getResult() != Result.UNAVAILABLE);
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
