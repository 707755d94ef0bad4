package org.limpetring.groups.world;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.Invariant;
import org.limpetring.base.ManualClock;
import org.limpetring.base.Metrics;
import org.limpetring.base.PoolName;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlanCodec;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.ServingGroup;
import org.limpetring.groups.monitor.Observation;
import org.limpetring.groups.monitor.ObservationCodec;
import org.limpetring.store.HostEntry;
import org.limpetring.store.ListResult;
import org.limpetring.store.memory.MemoryObjectStore;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.EngineAdapter;
import org.limpetring.tables.Pool;
import org.limpetring.tables.PoolTable;
import org.limpetring.tables.RouteTable;
import org.limpetring.tables.ServiceMarks;

/**
 * Simulates daemons and engines on one clock and compares what the daemons serve with the actual
 * engine state.
 */
final class GroupSimulation {

  static final PoolName POOL = new PoolName("pool");

  final ManualClock clock = new ManualClock(1_000_000);
  final MemoryObjectStore store = new MemoryObjectStore();
  final SimulationConfig size;
  final FakeWeightStore weights;
  final List<FakeDaemon> daemons = new ArrayList<>();
  final Map<HostId, FakeEngine> engines = new LinkedHashMap<>();
  final List<HostEntry> hosts = new ArrayList<>();
  final List<FabricDomain> domains = new ArrayList<>();
  AcceptedConfig config = AcceptedConfig.NONE;
  private final Map<Confirmation, Long> lastConfirmedMs = new HashMap<>();
  private final Map<HostId, HostEntry> entriesByHost = new HashMap<>();
  private final Map<String, FakeEngine> enginesByAddress = new HashMap<>();
  private List<PlannedGroup> plannedGroups = List.of();
  private long plannedGroupsRevision = -1;
  private final double initialViolations = violations();

  GroupSimulation(SimulationConfig size) {
    this.size = size;
    this.weights = size.weights();
    for (int failure = 0; failure < size.failureDomains(); failure++) {
      for (int fabric = 0; fabric < size.fabricDomainsEach(); fabric++) {
        addDomain(failure, fabric);
      }
    }
    setConfig(size.groupsWanted(), ServiceMarks.NONE);
    for (int index = 0; index < size.daemons(); index++) {
      FakeDaemon daemon = new FakeDaemon(this, index, size.settings());
      daemon.hosts = List.copyOf(hosts);
      daemons.add(daemon);
    }
    for (int index = 0; index < domains.size(); index++) {
      daemons.get(index % daemons.size()).plannedDomains.add(domains.get(index));
    }
  }

  private void addDomain(int failure, int fabric) {
    FabricDomain domain = new FabricDomain("r" + failure + "-" + fabric);
    domains.add(domain);
    for (int number = 0; number < size.hostsIn(domains.size() - 1); number++) {
      HostId host = new HostId("h" + failure + "-" + fabric + "-" + number);
      String ip = "10." + failure + "." + fabric + "." + number;
      hosts.add(new HostEntry(host, ip, new FailureDomain("z" + failure), domain, false, 4));
      FakeEngine engine = new FakeEngine(host, size.checksFencing());
      engines.put(host, engine);
      enginesByAddress.put(ip + ":80", engine);
      entriesByHost.put(host, hosts.get(hosts.size() - 1));
    }
  }

  /** Applies a configuration to every daemon, except those with a frozen configuration. */
  void setConfig(int groupsWanted, ServiceMarks marks) {
    Pool pool =
        new Pool(
            POOL,
            "s",
            EngineAdapter.CHAT_ENGINE,
            FakeWeightStore.MODEL,
            List.copyOf(engines.keySet()),
            80,
            size.groupSize(),
            groupsWanted,
            8,
            1,
            size.checksFencing());
    config =
        new AcceptedConfig(
            config.generation() + 1, 0, RouteTable.EMPTY, new PoolTable(List.of(pool)), marks);
    for (FakeDaemon daemon : daemons) {
      if (!daemon.hasStaleConfig) {
        daemon.config = config;
      }
    }
  }

  FakeEngine engineAt(String address) {
    return Objects.requireNonNull(enginesByAddress.get(address), address);
  }

  FakeEngine engine(HostId host) {
    return Objects.requireNonNull(engines.get(host));
  }

  List<FakeEngine> engineList() {
    return List.copyOf(engines.values());
  }

  /** Each host is observed by two daemons. */
  boolean isObserver(int daemon, HostId host) {
    int first = Math.floorMod(host.hashCode(), daemons.size());
    return daemon == first || daemon == (first + 1) % daemons.size();
  }

  void broadcast(FakeDaemon from, Observation observation) {
    Observation copy = ObservationCodec.decode(ObservationCodec.encode(observation));
    for (FakeDaemon daemon : daemons) {
      if (daemon != from && !daemon.partitionedFrom.contains(from)) {
        daemon.receive(copy);
      }
    }
  }

  /** Advances the clock by one step and ticks every running daemon. */
  void advance() {
    clock.advance(size.stepMs());
    int loading = (int) engines.values().stream().filter(FakeEngine::isLoading).count();
    double rateShare = weights.rateShare(loading);
    engines.values().forEach(engine -> engine.advance(size.stepMs(), rateShare));
    recordConfirmations();
    for (FakeDaemon daemon : daemons) {
      if (!daemon.isPaused) {
        daemon.tick();
      }
      recordConfirmations();
    }
  }

  /** Advances by one step and checks the invariants. */
  void step() {
    advance();
    check();
  }

  void steps(int count) {
    for (int done = 0; done < count; done++) {
      step();
    }
  }

  /** Records when each engine was last in a state that confirms its group. */
  private void recordConfirmations() {
    for (FakeEngine engine : engines.values()) {
      GroupId group = engine.group;
      if (group != null && engine.confirms(group, engine.epoch)) {
        lastConfirmedMs.put(
            new Confirmation(engine.incarnation(), group, engine.epoch), clock.nowMs());
      }
    }
  }

  /**
   * Checks the invariants from outside. Paused daemons are included, as they may resume at any
   * time.
   */
  void check() {
    long nowMs = clock.nowMs();
    for (FakeDaemon daemon : daemons) {
      for (ServingGroup group : daemon.controller.serving()) {
        checkWhole(daemon, group, nowMs);
        checkInService(daemon, group);
      }
    }
    checkPlans();
    assertWithMessage("violated invariants").that(violations() - initialViolations).isEqualTo(0.0);
  }

  private void checkWhole(FakeDaemon daemon, ServingGroup group, long nowMs) {
    assertWithMessage("size of " + group).that(group.members()).hasSize(size.groupSize());
    String[] incarnations = group.incarnation().split("\\+");
    for (int rank = 0; rank < group.members().size(); rank++) {
      HostId member = group.members().get(rank);
      long lastMs =
          lastConfirmedMs.getOrDefault(
              new Confirmation(incarnations[rank], group.id(), group.epoch()), Long.MIN_VALUE / 2);
      assertWithMessage(
              "%s serves %s, but %s last confirmed it this many ms ago", daemon.id, group, member)
          .that(nowMs - lastMs)
          .isAtMost(size.settings().freshMs());
    }
  }

  private void checkInService(FakeDaemon daemon, ServingGroup group) {
    if (daemon.isPaused) {
      return;
    }
    for (HostId member : group.members()) {
      HostEntry entry = Objects.requireNonNull(entriesByHost.get(member));
      assertWithMessage("%s serves %s, which is out of service", daemon.id, group)
          .that(daemon.config.marks().isOut(member, entry.failureDomain()))
          .isFalse();
    }
  }

  private void checkPlans() {
    Set<HostId> seen = new HashSet<>();
    for (PlannedGroup group : plannedGroups()) {
      for (HostId member : group.members()) {
        assertWithMessage("%s is in two groups", member).that(seen.add(member)).isTrue();
      }
    }
  }

  List<PlannedGroup> plannedGroups() {
    ListResult.Listed listed = (ListResult.Listed) store.list(PlanCodec.KEY_PREFIX);
    if (listed.revision() == plannedGroupsRevision) {
      return plannedGroups;
    }
    List<PlannedGroup> groups = new ArrayList<>();
    for (var object : listed.objects()) {
      Plan plan = PlanCodec.decode(object.value());
      groups.addAll(plan.groups());
    }
    plannedGroups = groups;
    plannedGroupsRevision = listed.revision();
    return groups;
  }

  /** Distinct groups that at least one daemon serves. */
  Set<GroupId> serving() {
    Set<GroupId> serving = new HashSet<>();
    for (FakeDaemon daemon : daemons) {
      daemon.controller.serving().forEach(group -> serving.add(group.id()));
    }
    return serving;
  }

  /** Confirmation of a group at an epoch by one incarnation of a host. */
  private record Confirmation(String incarnation, GroupId group, long epoch) {}

  private static double violations() {
    double sum = 0;
    for (Invariant invariant : Invariant.values()) {
      sum += Metrics.INVARIANT_VIOLATIONS.labelValues(invariant.name()).get();
    }
    return sum;
  }
}
