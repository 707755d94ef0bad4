package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.node.FleetNode;
import org.limpetring.peer.PeerAddress;
import org.limpetring.peer.PeerTransport;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.peer.relay.PlatformRelay;

/** Dispatches each frame from a peer to its handler. */
public final class PeerDispatcher {

  private final PeerTransport transport;
  private final FleetNode node;
  private final PlatformRelay relay;
  private final RelayPeers relayPeers;
  private final PeerClaims claims;

  /** Creates a dispatcher for the given handlers. */
  @Inject
  public PeerDispatcher(
      PeerTransport transport,
      FleetNode node,
      PlatformRelay relay,
      RelayPeers relayPeers,
      PeerClaims claims) {
    this.transport = transport;
    this.node = node;
    this.relay = relay;
    this.relayPeers = relayPeers;
    this.claims = claims;
  }

  /** Starts to receive frames and to follow the roster. */
  public void start() {
    transport.listen(this::handle);
    node.addListener(view -> relayPeers.set(addresses(view.self(), view.roster().daemons())));
    node.start();
  }

  private @Nullable Envelope handle(Envelope envelope) {
    if (envelope.hasPlatformRelayRequest()) {
      return Envelope.newBuilder()
          .setPlatformRelayResponse(relay.execute(envelope.getPlatformRelayRequest()))
          .build();
    }
    if (envelope.hasClaimRequest()) {
      return claims.serve(envelope.getClaimRequest());
    }
    node.onFrame(envelope);
    return null;
  }

  private static List<PeerAddress> addresses(DaemonId self, List<DaemonEntry> daemons) {
    return daemons.stream()
        .filter(entry -> !entry.id().equals(self))
        .map(entry -> new PeerAddress(entry.address(), entry.peerPort()))
        .toList();
  }
}
