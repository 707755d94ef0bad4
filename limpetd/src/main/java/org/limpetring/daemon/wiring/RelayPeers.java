package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.limpetring.peer.PeerAddress;

/** Peers that may relay a call to the platform. */
@Singleton
public final class RelayPeers {

  private final AtomicReference<List<PeerAddress>> peers = new AtomicReference<>(List.of());

  /** Starts with an empty list of peers. */
  @Inject
  public RelayPeers() {}

  /** Replaces the peers. */
  void set(List<PeerAddress> newPeers) {
    peers.set(List.copyOf(newPeers));
  }

  /** The peers in a new random order, so that relayed calls are spread over all of them. */
  public List<PeerAddress> shuffled() {
    List<PeerAddress> shuffledPeers = new ArrayList<>(Objects.requireNonNull(peers.get()));
    Collections.shuffle(shuffledPeers);
    return shuffledPeers;
  }
}
