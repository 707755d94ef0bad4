package org.limpetring.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.entry.balancing.Demand;
import org.limpetring.entry.balancing.DemandMeter;
import org.limpetring.entry.balancing.Endpoint;
import org.limpetring.entry.balancing.SlotShares;
import org.limpetring.entry.group.ModelDemand;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.ServiceSpec;
import org.limpetring.entry.peer.AnnouncementSchedule;
import org.limpetring.entry.peer.PeerRegistry;
import org.limpetring.entry.peer.PeerState;
import org.limpetring.entry.peer.UnmetDemands;

/**
 * Demand for each model at this daemon and in the fleet, and this daemon's share of the slots that
 * follows from it. Event loop only.
 */
final class FleetDemand {

  private static final double MS_PER_MINUTE = 60_000;

  /** Part of a group's slots that are in use when it is well filled. */
  private static final double FILLED_PART = 0.5;

  private final PeerRegistry peers;
  private final Clock clock;
  private final RandomGenerator random;
  private final EntryMetrics metrics;
  private final DemandMeter meter = new DemandMeter();
  private final TeamLoad teams;
  private long sharedLoadVersion = -1;

  FleetDemand(
      PeerRegistry peers,
      Clock clock,
      RandomGenerator random,
      EntryMetrics metrics,
      TeamLoad teams) {
    this.peers = peers;
    this.clock = clock;
    this.random = random;
    this.metrics = metrics;
    this.teams = teams;
  }

  /** A caller's request for a model arrived. */
  void onRequest(String model) {
    meter.onRequest(model, clock.nowMs());
  }

  /** A request for a model of a pool was refused; a caller's retry was counted before. */
  void onRefused(@Nullable ServiceSpec service, @Nullable String model, Demand demand) {
    EngineSpec engine = service == null ? null : service.engine();
    if (engine != null && model != null && engine.model(model) != null) {
      onUnmet(model, demand);
    }
  }

  private void onUnmet(String model, Demand demand) {
    if (!demand.isCallerRetry()) {
      meter.onUnmet(model, demand.rank(), clock.nowMs());
      metrics.unmet(model, demand.rank());
    }
  }

  /**
   * The first event of a request that ran nowhere else before has arrived. A late one counts as
   * unmet only if the group is well filled; otherwise it has other causes, such as a slow host, and
   * more groups would not help.
   */
  void onFirstEvent(Endpoint endpoint, Demand demand) {
    ModelSpec model = endpoint.model();
    boolean isFilled = endpoint.inFlight() >= FILLED_PART * endpoint.slots();
    if (model != null && isFilled && !demand.isOnTimeAt(clock.nowMs())) {
      onUnmet(model.name(), demand);
    }
  }

  /** Rates of unmet requests at this daemon, by model and rank. */
  List<PeerState.UnmetDemand> unmetRates() {
    List<PeerState.UnmetDemand> rates = new ArrayList<>();
    meter
        .unmetPerMinute(clock.nowMs())
        .forEach(
            (model, byRank) -> {
              for (int rank = 0; rank < byRank.size(); rank++) {
                rates.add(
                    new PeerState.UnmetDemand(PeerState.modelHash(model), rank, byRank.get(rank)));
              }
            });
    return UnmetDemands.sum(List.of(rates));
  }

  /** The fleet's demand for a model, as known to the planner. */
  ModelDemand demand(String model) {
    long nowMs = clock.nowMs();
    int rate = peers.fleetRequestsPerMinute(model, meter.requestsPerMinute(model, nowMs), nowMs);
    return new ModelDemand(
        Math.max(0, rate),
        meter.slotsNeeded(model, Math.max(0, rate), nowMs),
        UnmetDemands.byRank(peers.fleetUnmet(unmetRates(), nowMs), PeerState.modelHash(model)));
  }

  /** A request was served to its end after {@code runMs} at an endpoint. */
  void onServed(Endpoint endpoint, long runMs) {
    ModelSpec model = endpoint.model();
    if (model != null) {
      meter.onServed(model.name(), runMs, clock.nowMs());
    }
  }

  /** This daemon's part of the demand for a model, from 0 to 1; an equal part if it is null. */
  double share(@Nullable ModelSpec model) {
    long nowMs = clock.nowMs();
    double part = model == null ? -1 : teams.part(model.name());
    if (part >= 0) {
      return part;
    }
    return model == null
        ? 1.0 / Math.max(1, peers.aliveCount(nowMs))
        : peers.demandShare(model.name(), meter.requestsPerMinute(model.name(), nowMs), nowMs);
  }

  /** Rates of callers' requests at this daemon, by model. */
  List<PeerState.Demand> rates() {
    List<PeerState.Demand> rates = new ArrayList<>();
    meter
        .requestsPerMinute(clock.nowMs())
        .forEach(
            (model, rate) -> rates.add(new PeerState.Demand(PeerState.modelHash(model), rate)));
    return rates;
  }

  /** Slots that the fleet's requests for a model occupy on average; 0 if unknown. */
  double slotsNeeded(String model) {
    long nowMs = clock.nowMs();
    int ownRate = meter.requestsPerMinute(model, nowMs);
    int fleetRate = peers.fleetRequestsPerMinute(model, ownRate, nowMs);
    return meter.slotsNeeded(model, Math.max(0, fleetRate), nowMs);
  }

  /** Takes this daemon's share of the slots that a new announcement of the load leaves free. */
  void shareSlots(Iterable<List<Endpoint>> pools) {
    long version = peers.loadVersion(clock.nowMs());
    if (version == sharedLoadVersion) {
      return;
    }
    sharedLoadVersion = version;
    for (List<Endpoint> pool : pools) {
      ModelSpec model = pool.get(0).model();
      SlotShares.apply(
          pool,
          endpoint -> peers.announcedInFlight(endpoint.key()),
          share(model),
          model == null ? Double.POSITIVE_INFINITY : arrivalsPerRound(model.name()),
          random);
    }
  }

  /** Requests for a model in the whole fleet between two announcements; infinite if unknown. */
  private double arrivalsPerRound(String model) {
    long nowMs = clock.nowMs();
    int perMinute =
        peers.fleetRequestsPerMinute(model, meter.requestsPerMinute(model, nowMs), nowMs);
    return perMinute < 0
        ? Double.POSITIVE_INFINITY
        : perMinute * AnnouncementSchedule.intervalMs(peers.knownCount()) / MS_PER_MINUTE;
  }

  /** Takes this daemon's share of the slots of endpoints that were just added. */
  void shareNewSlots(List<Endpoint> added) {
    for (Endpoint endpoint : added) {
      SlotShares.applyToNew(endpoint, share(endpoint.model()), random);
    }
  }
}
