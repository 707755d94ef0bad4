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

/** Brings each frame of a peer to the part of the daemon that it is for. */
public final class PeerHub {

  private final PeerTransport transport;
  private final FleetNode node;
  private final PlatformRelay relay;
  private final Carriers carriers;
  private final PeerClaims claims;

  /** Takes the parts that receive frames. */
  @Inject
  public PeerHub(
      PeerTransport transport,
      FleetNode node,
      PlatformRelay relay,
      Carriers carriers,
      PeerClaims claims) {
    this.transport = transport;
    this.node = node;
    this.relay = relay;
    this.carriers = carriers;
    this.claims = claims;
  }

  /** Starts to take frames and to follow the roster. */
  public void start() {
    transport.listen(this::handle);
    node.addListener(view -> carriers.set(addresses(view.self(), view.roster().daemons())));
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
