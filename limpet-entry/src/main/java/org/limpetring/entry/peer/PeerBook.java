package org.limpetring.entry.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** What is known of the other daemons; silence makes them count no more. */
public final class PeerBook {

  /** A daemon that was silent for this long does not count; several datagrams may be lost. */
  static final long ALIVE_MS = 2_500;

  private static final class Peer {
    InetSocketAddress address;
    @Nullable PeerState state;
    long heardMs = Long.MIN_VALUE / 2;

    Peer(InetSocketAddress address) {
      this.address = address;
    }
  }

  private final String ownName;
  private final Map<String, Peer> peers = new HashMap<>();

  /** Book of the daemon {@code ownName}. */
  public PeerBook(String ownName) {
    this.ownName = ownName;
  }

  /** A daemon is listed at an address. */
  public void onListed(String name, InetSocketAddress address) {
    if (name.equals(ownName)) {
      return;
    }
    Peer peer = peers.get(name);
    if (peer == null) {
      peers.put(name, new Peer(address));
    } else if (peer.state == null) {
      peer.address = address;
    }
  }

  /** A datagram came. */
  public void onHeard(PeerState state, InetSocketAddress from, long nowMs) {
    if (state.name().equals(ownName)) {
      return;
    }
    Peer peer = peers.computeIfAbsent(state.name(), name -> new Peer(from));
    peer.address = from;
    peer.state = state;
    peer.heardMs = nowMs;
  }

  /** Addresses of all known daemons; silent ones are among them, since they may be back. */
  public List<InetSocketAddress> addresses() {
    List<InetSocketAddress> addresses = new ArrayList<>(peers.size());
    for (Peer peer : peers.values()) {
      addresses.add(peer.address);
    }
    return addresses;
  }

  /** Known daemons, this one among them. */
  public int knownCount() {
    return peers.size() + 1;
  }

  /** Daemons heard of lately, this one among them. */
  public int aliveCount(long nowMs) {
    return alive(nowMs).size() + 1;
  }

  /** Latest states of the daemons that were heard lately. */
  public List<PeerState> alive(long nowMs) {
    List<PeerState> states = new ArrayList<>(peers.size());
    for (Peer peer : peers.values()) {
      if (peer.state != null && nowMs - peer.heardMs < ALIVE_MS && !peer.state.isStopping()) {
        states.add(peer.state);
      }
    }
    return states;
  }

  /** The other daemons' requests in progress at a place. */
  public int inFlight(String placeKey, long nowMs) {
    int count = 0;
    for (Peer peer : peers.values()) {
      if (peer.state == null || nowMs - peer.heardMs >= ALIVE_MS) {
        continue;
      }
      for (PeerState.Load load : peer.state.loads()) {
        if (load.placeKey().equals(placeKey)) {
          count += load.inFlight();
        }
      }
    }
    return count;
  }

  /** Whether another daemon lately said that a place stands still. */
  public boolean isSuspected(String placeKey, long nowMs) {
    for (PeerState state : alive(nowMs)) {
      for (PeerState.Load load : state.loads()) {
        if (load.isSuspected() && load.placeKey().equals(placeKey)) {
          return true;
        }
      }
    }
    return false;
  }
}
