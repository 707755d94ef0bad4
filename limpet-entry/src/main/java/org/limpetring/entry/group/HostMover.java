package org.limpetring.entry.group;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.DecisionLog;
import org.limpetring.entry.EntryMetrics;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.EngineStatus;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.PlannedGroup;
import org.limpetring.entry.model.ServiceSpec;
import org.limpetring.entry.model.Upstream;

/** Gathers the input of {@link HostReallocation} and reserves the hosts that it frees. */
final class HostMover {

  private static final long INTERVAL_MS = 250;
  private static final double PERCENT = 100;

  private final GroupManager.Context context;
  private final HostAllocator allocator;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final Map<String, HostReallocation> reallocations = new HashMap<>();
  private long nextMs = Long.MIN_VALUE / 2;

  HostMover(
      GroupManager.Context context,
      HostAllocator allocator,
      DecisionLog log,
      EntryMetrics metrics) {
    this.context = context;
    this.allocator = allocator;
    this.log = log;
    this.metrics = metrics;
  }

  /** Discards what was observed so far. */
  void reset() {
    reallocations.clear();
  }

  /** Decides which groups are dissolved for another model, and reserves their hosts for it. */
  List<ManagedGroup> groupsToDissolve(Collection<ManagedGroup> groups, long nowMs) {
    if (nowMs < nextMs || !context.isTrafficSeen()) {
      return List.of();
    }
    nextMs = nowMs + INTERVAL_MS;
    List<ManagedGroup> dissolved = new ArrayList<>();
    for (ServiceSpec service : context.services()) {
      EngineSpec engine = service.engine();
      HostAllocator.PoolUse use = allocator.poolUse(service.name());
      if (engine == null || use == null || engine.models().size() < 2) {
        continue;
      }
      List<HostReallocation.Move> moves =
          reallocations
              .computeIfAbsent(service.name(), name -> new HostReallocation())
              .decide(pool(service.name(), engine, groups, use), context.isHearingFleet(), nowMs);
      for (HostReallocation.Move move : moves) {
        carryOut(move, engine, groups, dissolved, nowMs);
      }
    }
    return dissolved;
  }

  private void carryOut(
      HostReallocation.Move move,
      EngineSpec engine,
      Collection<ManagedGroup> groups,
      List<ManagedGroup> dissolved,
      long nowMs) {
    ModelSpec model = engine.model(move.to());
    if (model == null) {
      return;
    }
    int hosts = move.reservedHosts();
    for (ManagedGroup managed : groups) {
      if (move.groups().contains(managed.group.name())) {
        managed.movesTo = move.to();
        allocator.reserve(managed.group, model, hosts, nowMs);
        hosts = Math.max(0, hosts - managed.group.members().size());
        dissolved.add(managed);
      }
    }
    metrics.hostsMoved(move.from(), move.to(), move.reservedHosts());
    log.write(
        LogEvent.HOSTS_MOVING,
        "from",
        move.from(),
        "to",
        move.to(),
        "fabricDomain",
        move.fabricDomain(),
        "groups",
        String.join(" ", move.groups()),
        "newGroups",
        move.gained(),
        "unmetPercent",
        Math.round(PERCENT * move.unmetRatio()),
        "shortForMs",
        move.shortForMs());
  }

  private HostReallocation.Pool pool(
      String service,
      EngineSpec engine,
      Collection<ManagedGroup> groups,
      HostAllocator.PoolUse use) {
    Map<String, Integer> serving = new HashMap<>();
    Map<String, Integer> coming = new HashMap<>();
    Map<String, Integer> leaving = new HashMap<>();
    List<HostReallocation.Donor> donors = new ArrayList<>();
    for (ManagedGroup managed : groups) {
      PlannedGroup group = managed.group;
      Upstream head = context.upstream(group.head());
      EngineStatus status = head == null ? null : head.engine();
      if (!group.service().equals(service)
          || (head != null && context.domainsOut().contains(head.failureDomain()))) {
        continue;
      }
      switch (group.phase()) {
        case FORMING -> coming.merge(group.model(), 1, Integer::sum);
        case OPENED -> {
          serving.merge(group.model(), 1, Integer::sum);
          if (status != null && !context.isSuspected(group)) {
            donors.add(
                new HostReallocation.Donor(group.name(), group.model(), status.fabricDomain()));
          }
        }
        case ENDING -> {
          if (managed.movesTo != null) {
            leaving.merge(group.model(), 1, Integer::sum);
          }
        }
      }
    }
    Map<String, Map<String, Integer>> spares = new HashMap<>();
    for (FreeHost host : use.free()) {
      String held = host.loadingModel() != null ? host.loadingModel() : host.stagedModel();
      String model = host.reservedModel() != null ? host.reservedModel() : held;
      if (model != null) {
        spares
            .computeIfAbsent(host.fabricDomain(), key -> new HashMap<>())
            .merge(model, 1, Integer::sum);
      }
    }
    List<HostReallocation.ModelState> models = new ArrayList<>();
    for (ModelSpec model : engine.models()) {
      int spareGroups = 0;
      for (Map<String, Integer> held : spares.values()) {
        spareGroups += held.getOrDefault(model.name(), 0) / model.groupSize();
      }
      models.add(
          new HostReallocation.ModelState(
              model,
              context.demand(model.name()),
              serving.getOrDefault(model.name(), 0),
              coming.getOrDefault(model.name(), 0) + spareGroups));
    }
    return new HostReallocation.Pool(
        engine, models, donors, spares, leaving, Math.max(0, engine.loadsAtOnce() - use.loading()));
  }
}
