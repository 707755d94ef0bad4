package org.limpetring.entry.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * What is known of the other daemons; silence makes them count no more.
 *
 * <p>The planner hears all daemons and tells each what they carry together. While no planner is
 * heard, the daemons hear each other, and the sums are made here.
 */
public final class PeerRegistry {

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

  /** Load of one place at other daemons. */
  private static final class OtherLoad {
    int inFlight;
    boolean isSuspected;

    void add(PeerState.Load load) {
      inFlight += load.inFlight();
      isSuspected |= load.isSuspected();
    }
  }

  private final String ownName;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private final TreeSet<String> names = new TreeSet<>();
  private final Map<Integer, Integer> toldInFlight = new HashMap<>();
  private Map<Integer, OtherLoad> others = Map.of();
  private @Nullable Peer planner;
  private boolean isPlanner;
  private int turn;

  /** Book of the daemon {@code ownName}. */
  public PeerRegistry(String ownName) {
    this.ownName = ownName;
    names.add(ownName);
  }

  /** A daemon is listed at an address. */
  public void onListed(String name, InetSocketAddress address) {
    if (name.equals(ownName)) {
      return;
    }
    Peer peer = peers.get(name);
    if (peer == null) {
      peers.put(name, new Peer(address));
      names.add(name);
    } else if (peer.state == null) {
      peer.address = address;
    }
  }

  /** A datagram came. */
  public void onReceived(PeerState state, InetSocketAddress from, long nowMs) {
    if (state.name().equals(ownName)) {
      return;
    }
    Peer peer = peers.computeIfAbsent(state.name(), name -> new Peer(from));
    names.add(state.name());
    peer.address = from;
    peer.state = state;
    peer.heardMs = nowMs;
    boolean isNewestPlanner =
        state.isPlanner()
            && (planner == null || planner.state == null || state.term() >= planner.state.term());
    if (isNewestPlanner) {
      planner = peer;
    }
  }

  /** This daemon told the others its load. */
  public void onAnnounced(List<PeerState.Load> loads) {
    toldInFlight.clear();
    for (PeerState.Load load : loads) {
      toldInFlight.put(load.endpointHash(), load.inFlight());
    }
  }

  /** Whether this daemon plans, so that it sums up itself what it hears. */
  public void setPlanner(boolean isPlannerNow) {
    isPlanner = isPlannerNow;
  }

  /** Addresses of all known daemons; silent ones are among them, since they may be back. */
  public List<InetSocketAddress> addresses() {
    List<InetSocketAddress> addresses = new ArrayList<>(peers.size());
    for (Peer peer : peers.values()) {
      addresses.add(peer.address);
    }
    return addresses;
  }

  /** Addresses of the next {@code count} known daemons, in turn. */
  public List<InetSocketAddress> nextAddresses(int count) {
    List<InetSocketAddress> all = addresses();
    if (all.size() <= count) {
      return all;
    }
    List<InetSocketAddress> next = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      next.add(all.get(turn++ % all.size()));
    }
    turn %= all.size();
    return next;
  }

  /** Address of the planner if it was heard in the last {@code withinMs}, else null. */
  public @Nullable InetSocketAddress plannerAddress(long withinMs, long nowMs) {
    Peer heard = planner;
    if (heard == null || heard.state == null || !heard.state.isPlanner()) {
      return null;
    }
    boolean isHeard = nowMs - heard.heardMs <= withinMs && !heard.state.isStopping();
    return isHeard ? heard.address : null;
  }

  /** Names of all known daemons, this one among them; names only join. */
  public Collection<String> knownNames() {
    return names;
  }

  /** Known daemons, this one among them. */
  public int knownCount() {
    return peers.size() + 1;
  }

  /** Names of the daemons that this one itself heard in the last {@code withinMs}. */
  public List<String> recentPeerNames(long withinMs, long nowMs) {
    List<String> heard = new ArrayList<>();
    for (Map.Entry<String, Peer> peer : peers.entrySet()) {
      PeerState state = peer.getValue().state;
      if (state != null && !state.isStopping() && nowMs - peer.getValue().heardMs <= withinMs) {
        heard.add(peer.getKey());
      }
    }
    return heard;
  }

  /** Daemons heard of lately, by this one or by the planner, this one among them. */
  public int aliveCount(long nowMs) {
    PeerState.FleetLoad fleet = fleet(nowMs);
    return fleet != null ? Math.max(1, fleet.daemons()) : alive(nowMs).size() + 1;
  }

  /** Latest states of the daemons that this one heard lately. */
  public List<PeerState> alive(long nowMs) {
    List<PeerState> states = new ArrayList<>(peers.size());
    for (Peer peer : peers.values()) {
      if (peer.state != null && nowMs - peer.heardMs < ALIVE_MS && !peer.state.isStopping()) {
        states.add(peer.state);
      }
    }
    return states;
  }

  /** What the planner last told of all daemons, if that was lately. */
  private PeerState.@Nullable FleetLoad fleet(long nowMs) {
    Peer heard = planner;
    PeerState state = heard == null ? null : heard.state;
    if (isPlanner || heard == null || state == null || nowMs - heard.heardMs >= ALIVE_MS) {
      return null;
    }
    return state.fleet();
  }

  /** Sums up what the other daemons carry; the sums hold until the next call. */
  public void aggregateLoads(long nowMs) {
    Map<Integer, OtherLoad> sums = new HashMap<>();
    PeerState.FleetLoad fleet = fleet(nowMs);
    if (fleet != null) {
      for (PeerState.Load load : fleet.loads()) {
        OtherLoad sum = sums.computeIfAbsent(load.endpointHash(), hash -> new OtherLoad());
        sum.add(load);
        sum.inFlight -= toldInFlight.getOrDefault(load.endpointHash(), 0);
      }
    } else {
      for (Peer peer : peers.values()) {
        // one that is stopping still carries what it took
        if (peer.state != null && nowMs - peer.heardMs < ALIVE_MS) {
          for (PeerState.Load load : peer.state.loads()) {
            sums.computeIfAbsent(load.endpointHash(), hash -> new OtherLoad()).add(load);
          }
        }
      }
    }
    others = sums;
  }

  /** Load of all daemons as this one, the planner, tells it; {@code own} is its own part. */
  public PeerState.FleetLoad fleetLoad(List<PeerState.Load> own, long nowMs) {
    Map<Integer, OtherLoad> sums = new HashMap<>();
    others.forEach(
        (hash, load) -> {
          OtherLoad sum = new OtherLoad();
          sum.inFlight = load.inFlight;
          sum.isSuspected = load.isSuspected;
          sums.put(hash, sum);
        });
    for (PeerState.Load load : own) {
      sums.computeIfAbsent(load.endpointHash(), hash -> new OtherLoad()).add(load);
    }
    List<PeerState.Load> loads = new ArrayList<>(sums.size());
    sums.forEach(
        (hash, load) -> loads.add(new PeerState.Load(hash, load.inFlight, load.isSuspected)));
    return new PeerState.FleetLoad(alive(nowMs).size() + 1, loads);
  }

  /** The other daemons' requests in progress at a place, as last summed up. */
  public int inFlight(String placeKey) {
    OtherLoad load = others.get(PeerState.endpointHash(placeKey));
    return load == null ? 0 : Math.max(0, load.inFlight);
  }

  /** Whether another daemon said that a place stands still, as last summed up. */
  public boolean isSuspected(String placeKey) {
    OtherLoad load = others.get(PeerState.endpointHash(placeKey));
    return load != null && load.isSuspected;
  }
}
