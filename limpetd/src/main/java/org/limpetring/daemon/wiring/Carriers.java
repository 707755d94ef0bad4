package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.limpetring.peer.PeerAddress;

/** Peers that may carry a call to the platform. */
@Singleton
public final class Carriers {

  private final AtomicReference<List<PeerAddress>> peers = new AtomicReference<>(List.of());

  /** Starts without a peer. */
  @Inject
  public Carriers() {}

  /** Replaces the peers. */
  void set(List<PeerAddress> newer) {
    peers.set(List.copyOf(newer));
  }

  /** The peers in a new random order, so that no one of them carries all calls. */
  public List<PeerAddress> shuffled() {
    List<PeerAddress> order = new ArrayList<>(Objects.requireNonNull(peers.get()));
    Collections.shuffle(order);
    return order;
  }
}
