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
 * Registry of the other daemons with their last announced states; silent daemons are not counted.
 *
 * <p>The planner receives the states of all daemons and sends their total load back to each. While
 * no planner is known, daemons announce their states to each other, and each one aggregates the
 * loads itself.
 */
public final class PeerRegistry {

  /** A daemon that was silent for this long is not counted; tolerates several lost datagrams. */
  static final long ALIVE_MS = 2_500;

  /** Least and greatest part of the demand, in equal parts, that a daemon may claim. */
  private static final double MIN_DEMAND = 0.5;

  private static final double MAX_DEMAND = 4;

  private static final class Peer {
    InetSocketAddress address;
    @Nullable PeerState state;
    long receivedMs = Long.MIN_VALUE / 2;

    Peer(InetSocketAddress address) {
      this.address = address;
    }
  }

  /**
   * Load of one endpoint from other daemons.
   *
   * <p>A stalled head is silent for all daemons that have requests there; a single one may only be
   * waiting for its first event behind long prompts of others. So an endpoint counts as suspected
   * if at least half of the daemons with requests there suspect it.
   */
  private static final class RemoteLoad {
    int inFlight;
    int daemons;
    int suspecting;

    void add(PeerState.Load load) {
      inFlight += load.inFlight();
      daemons++;
      suspecting += load.isSuspected() ? 1 : 0;
    }

    boolean isSuspected() {
      return suspecting > 0 && 2 * suspecting >= daemons;
    }
  }

  private final String ownName;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private final TreeSet<String> names = new TreeSet<>();
  private final Map<Integer, Integer> announcedInFlight = new HashMap<>();
  private Map<Integer, RemoteLoad> remoteLoads = Map.of();
  private @Nullable Peer planner;
  private boolean isPlanner;
  private int nextIndex;

  /** Creates the registry of the daemon {@code ownName}. */
  public PeerRegistry(String ownName) {
    this.ownName = ownName;
    names.add(ownName);
  }

  /** Adds a listed daemon with its address. */
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

  /** Records a received state and the address of its sender. */
  public void onReceived(PeerState state, InetSocketAddress from, long nowMs) {
    if (state.name().equals(ownName)) {
      return;
    }
    Peer peer = peers.computeIfAbsent(state.name(), name -> new Peer(from));
    names.add(state.name());
    peer.address = from;
    peer.state = state;
    peer.receivedMs = nowMs;
    boolean isNewestPlanner =
        state.isPlanner()
            && (planner == null || planner.state == null || state.term() >= planner.state.term());
    if (isNewestPlanner) {
      planner = peer;
    }
  }

  /** Records the load that this daemon announced to the others. */
  public void onAnnounced(List<PeerState.Load> loads) {
    announcedInFlight.clear();
    for (PeerState.Load load : loads) {
      announcedInFlight.put(load.endpointHash(), load.inFlight());
    }
  }

  /** Sets whether this daemon is the planner and so aggregates the received loads itself. */
  public void setPlanner(boolean isPlannerNow) {
    isPlanner = isPlannerNow;
  }

  /** Addresses of all known daemons, including silent ones, since they may have recovered. */
  public List<InetSocketAddress> addresses() {
    List<InetSocketAddress> addresses = new ArrayList<>(peers.size());
    for (Peer peer : peers.values()) {
      addresses.add(peer.address);
    }
    return addresses;
  }

  /** Addresses of the next {@code count} known daemons, in round-robin order. */
  public List<InetSocketAddress> nextAddresses(int count) {
    List<InetSocketAddress> all = addresses();
    if (all.size() <= count) {
      return all;
    }
    List<InetSocketAddress> next = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      next.add(all.get(nextIndex++ % all.size()));
    }
    nextIndex %= all.size();
    return next;
  }

  /** Address of the planner if its state was received in the last {@code withinMs}, else null. */
  public @Nullable InetSocketAddress plannerAddress(long withinMs, long nowMs) {
    Peer current = planner;
    if (current == null || current.state == null || !current.state.isPlanner()) {
      return null;
    }
    boolean isRecent = nowMs - current.receivedMs <= withinMs && !current.state.isStopping();
    return isRecent ? current.address : null;
  }

  /** Name of the planner if its state was received in the last {@code withinMs}, else null. */
  public @Nullable String plannerName(long withinMs, long nowMs) {
    Peer current = planner;
    boolean isKnown = plannerAddress(withinMs, nowMs) != null;
    return isKnown && current != null && current.state != null ? current.state.name() : null;
  }

  /** Names of all known daemons, including this one; names are never removed. */
  public Collection<String> knownNames() {
    return names;
  }

  /** Number of known daemons, including this one. */
  public int knownCount() {
    return peers.size() + 1;
  }

  /** Names of the daemons whose states this daemon itself received in the last {@code withinMs}. */
  public List<String> recentPeerNames(long withinMs, long nowMs) {
    List<String> recent = new ArrayList<>();
    for (Map.Entry<String, Peer> peer : peers.entrySet()) {
      PeerState state = peer.getValue().state;
      if (state != null && !state.isStopping() && nowMs - peer.getValue().receivedMs <= withinMs) {
        recent.add(peer.getKey());
      }
    }
    return recent;
  }

  /** Number of live daemons as seen by the planner or by this daemon, including this one. */
  public int aliveCount(long nowMs) {
    PeerState.FleetLoad fleet = fleet(nowMs);
    return fleet != null ? Math.max(1, fleet.daemons()) : alive(nowMs).size() + 1;
  }

  /** Latest states of the daemons that this one received from within {@link #ALIVE_MS}. */
  public List<PeerState> alive(long nowMs) {
    List<PeerState> states = new ArrayList<>(peers.size());
    for (Peer peer : peers.values()) {
      if (peer.state != null && nowMs - peer.receivedMs < ALIVE_MS && !peer.state.isStopping()) {
        states.add(peer.state);
      }
    }
    return states;
  }

  /**
   * Fleet load last announced by the planner, or null if it is outdated or this daemon is the
   * planner.
   */
  private PeerState.@Nullable FleetLoad fleet(long nowMs) {
    Peer current = planner;
    PeerState state = current == null ? null : current.state;
    if (isPlanner || current == null || state == null || nowMs - current.receivedMs >= ALIVE_MS) {
      return null;
    }
    return state.fleet();
  }

  /** Aggregates the load of the other daemons; the result is used until the next call. */
  public void aggregateLoads(long nowMs) {
    Map<Integer, RemoteLoad> sums = new HashMap<>();
    PeerState.FleetLoad fleet = fleet(nowMs);
    if (fleet != null) {
      for (PeerState.Load load : fleet.loads()) {
        RemoteLoad sum = sums.computeIfAbsent(load.endpointHash(), hash -> new RemoteLoad());
        sum.add(load);
        sum.inFlight -= announcedInFlight.getOrDefault(load.endpointHash(), 0);
      }
    } else {
      for (Peer peer : peers.values()) {
        // a stopping daemon still carries the requests that it accepted
        if (peer.state != null && nowMs - peer.receivedMs < ALIVE_MS) {
          for (PeerState.Load load : peer.state.loads()) {
            sums.computeIfAbsent(load.endpointHash(), hash -> new RemoteLoad()).add(load);
          }
        }
      }
    }
    remoteLoads = sums;
  }

  /** Load of all daemons, for the planner to announce; {@code own...} is this daemon's part. */
  public PeerState.FleetLoad fleetLoad(
      List<PeerState.Load> own, List<PeerState.Demand> ownDemands, long nowMs) {
    return fleetLoad(own, ownDemands, List.of(), nowMs);
  }

  /** The same with this daemon's unmet demand. */
  public PeerState.FleetLoad fleetLoad(
      List<PeerState.Load> own,
      List<PeerState.Demand> ownDemands,
      List<PeerState.UnmetDemand> ownUnmet,
      long nowMs) {
    Map<Integer, RemoteLoad> sums = new HashMap<>();
    remoteLoads.forEach(
        (hash, load) -> {
          RemoteLoad sum = new RemoteLoad();
          sum.inFlight = load.inFlight;
          sum.daemons = load.daemons;
          sum.suspecting = load.suspecting;
          sums.put(hash, sum);
        });
    for (PeerState.Load load : own) {
      sums.computeIfAbsent(load.endpointHash(), hash -> new RemoteLoad()).add(load);
    }
    List<PeerState.Load> loads = new ArrayList<>(sums.size());
    sums.forEach(
        (hash, load) -> loads.add(new PeerState.Load(hash, load.inFlight, load.isSuspected())));
    List<PeerState> alive = alive(nowMs);
    Map<Integer, Integer> demands = new HashMap<>();
    alive.forEach(state -> addAll(state.demands(), demands));
    addAll(ownDemands, demands);
    List<PeerState.Demand> demandList = new ArrayList<>(demands.size());
    demands.forEach((model, rate) -> demandList.add(new PeerState.Demand(model, rate)));
    return new PeerState.FleetLoad(alive.size() + 1, demandList, loads, unmetSum(alive, ownUnmet));
  }

  /** Unmet demand of the whole fleet as the planner knows or announced it, by model and rank. */
  public List<PeerState.UnmetDemand> fleetUnmet(List<PeerState.UnmetDemand> own, long nowMs) {
    PeerState.FleetLoad fleet = fleet(nowMs);
    return fleet != null ? fleet.unmetDemands() : unmetSum(alive(nowMs), own);
  }

  private static List<PeerState.UnmetDemand> unmetSum(
      List<PeerState> states, List<PeerState.UnmetDemand> own) {
    List<List<PeerState.UnmetDemand>> parts = new ArrayList<>(states.size() + 1);
    states.forEach(state -> parts.add(state.unmetDemands()));
    parts.add(own);
    return UnmetDemands.sum(parts);
  }

  private static void addAll(List<PeerState.Demand> demands, Map<Integer, Integer> sums) {
    for (PeerState.Demand demand : demands) {
      sums.merge(demand.modelHash(), demand.requestsPerMinute(), Integer::sum);
    }
  }

  /**
   * Rate of callers' requests for a model in the whole fleet; -1 if no planner announced it and
   * this daemon does not aggregate it.
   */
  public int fleetRequestsPerMinute(String model, int ownRequestsPerMinute, long nowMs) {
    PeerState.FleetLoad fleet = fleet(nowMs);
    if (fleet == null && !isPlanner) {
      return -1;
    }
    int modelHash = PeerState.modelHash(model);
    if (fleet != null) {
      return rate(fleet.demands(), modelHash);
    }
    int sum = ownRequestsPerMinute;
    for (PeerState state : alive(nowMs)) {
      sum += rate(state.demands(), modelHash);
    }
    return sum;
  }

  private static int rate(List<PeerState.Demand> demands, int modelHash) {
    for (PeerState.Demand demand : demands) {
      if (demand.modelHash() == modelHash) {
        return demand.requestsPerMinute();
      }
    }
    return 0;
  }

  /**
   * This daemon's part of the fleet's demand for a model, from 0 to 1; an equal part while it is
   * unknown.
   */
  public double demandShare(String model, int ownRequestsPerMinute, long nowMs) {
    int fleetRate = fleetRequestsPerMinute(model, ownRequestsPerMinute, nowMs);
    if (fleetRate < 0) {
      return 1.0 / knownCount();
    }
    int daemons = aliveCount(nowMs);
    double share = (ownRequestsPerMinute + 1.0) / (fleetRate + daemons);
    double equalShare = 1.0 / daemons;
    return Math.min(1, Math.min(MAX_DEMAND * equalShare, Math.max(MIN_DEMAND * equalShare, share)));
  }

  /**
   * Changes with each announcement of the fleet's load, so that what an announcement leaves free is
   * shared out once.
   */
  public long loadVersion(long nowMs) {
    Peer current = planner;
    if (current != null && current.state != null && fleet(nowMs) != null) {
      return current.state.sequence();
    }
    long roundMs =
        isPlanner
            ? AnnouncementSchedule.intervalMs(knownCount())
            : AnnouncementSchedule.roundMs(knownCount());
    return nowMs / roundMs;
  }

  /** Requests in progress at an endpoint that this daemon announced last. */
  public int announcedInFlight(String endpointKey) {
    return announcedInFlight.getOrDefault(PeerState.endpointHash(endpointKey), 0);
  }

  /** The other daemons' requests in progress at an endpoint, as last aggregated. */
  public int inFlight(String endpointKey) {
    RemoteLoad load = remoteLoads.get(PeerState.endpointHash(endpointKey));
    return load == null ? 0 : Math.max(0, load.inFlight);
  }

  /**
   * Whether at least half of the other daemons with requests at an endpoint suspect it, as last
   * aggregated.
   */
  public boolean isSuspected(String endpointKey) {
    RemoteLoad load = remoteLoads.get(PeerState.endpointHash(endpointKey));
    return load != null && load.isSuspected();
  }
}
