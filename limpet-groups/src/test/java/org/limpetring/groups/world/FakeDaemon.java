package org.limpetring.groups.world;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberOrder;
import org.limpetring.groups.MemberPort;
import org.limpetring.groups.OrderResult;
import org.limpetring.groups.ReportResult;
import org.limpetring.groups.control.ControlSettings;
import org.limpetring.groups.control.GroupController;
import org.limpetring.groups.control.GroupInputs;
import org.limpetring.groups.monitor.Observation;
import org.limpetring.store.HostEntry;
import org.limpetring.store.WeightStore;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.tables.AcceptedConfig;

/** Daemon with a real controller, connected to a fault-injecting store and fake engines. */
final class FakeDaemon implements MemberPort, GroupInputs {

  private static final long CLOCK_SKEW_MS = 77_777_777;

  final DaemonId id;
  final FaultyObjectStore store;
  final GroupController controller;
  final Set<FabricDomain> plannedDomains = new HashSet<>();
  final Set<HostId> unreachableHosts = new HashSet<>();
  final Set<FakeDaemon> partitionedFrom = new HashSet<>();
  private final List<Observation> inbox = new ArrayList<>();
  final List<MemberOrder> delayedOrders = new ArrayList<>();
  boolean hasStaleConfig;
  boolean isPaused;
  boolean delaysOrders;
  boolean losesOrderResponses;
  AcceptedConfig config;
  List<HostEntry> hosts = List.of();
  private final GroupSimulation simulation;
  private final int index;
  private long sentVersion;

  FakeDaemon(GroupSimulation simulation, int index, ControlSettings settings) {
    this.simulation = simulation;
    this.index = index;
    this.id = new DaemonId("d" + index);
    this.store = new FaultyObjectStore(simulation.store);
    this.config = simulation.config;
    this.controller =
        new GroupController(
            id,
            () -> simulation.clock.nowMs() + index * CLOCK_SKEW_MS,
            store,
            this,
            this,
            settings,
            Runnable::run,
            Runnable::run);
  }

  /** Runs one tick and sends the observation to the other daemons if it is new. */
  void tick() {
    inbox.forEach(controller::onObservation);
    inbox.clear();
    controller.tick();
    if (controller.observation().version() > sentVersion) {
      sentVersion = controller.observation().version();
      simulation.broadcast(this, controller.observation());
    }
  }

  /** Processes an observation at once, or buffers it while the daemon is paused. */
  void receive(Observation observation) {
    if (isPaused) {
      inbox.add(observation);
    } else {
      controller.onObservation(observation);
    }
  }

  @Override
  public ReportResult report(String address) {
    FakeEngine engine = simulation.engineAt(address);
    if (unreachableHosts.contains(engine.host) || !engine.isResponsive()) {
      return new ReportResult.Missing("no response");
    }
    return new ReportResult.Reported(engine.report());
  }

  @Override
  public OrderResult order(String address, MemberOrder order) {
    if (delaysOrders) {
      delayedOrders.add(order);
      return new OrderResult.Unknown("delayed");
    }
    FakeEngine engine = simulation.engineAt(address);
    if (unreachableHosts.contains(engine.host) || !engine.isResponsive()) {
      return new OrderResult.Unknown("no response");
    }
    OrderResult result = engine.order(order, simulation.weights);
    return losesOrderResponses ? new OrderResult.Unknown("response lost") : result;
  }

  /** Delivers the delayed orders. */
  void deliverDelayedOrders() {
    for (MemberOrder order : delayedOrders) {
      FakeEngine engine = simulation.engine(order.host());
      if (engine.isResponsive()) {
        engine.order(order, simulation.weights);
      }
    }
    delayedOrders.clear();
  }

  @Override
  public AcceptedConfig config() {
    return config;
  }

  @Override
  public List<HostEntry> hosts() {
    return hosts;
  }

  @Override
  public WeightStore.Result.Limits weights() {
    return simulation.weights.limits();
  }

  @Override
  public boolean mayPlan(FabricDomain domain) {
    return plannedDomains.contains(domain);
  }

  @Override
  public boolean observes(HostId host) {
    return simulation.isObserver(index, host);
  }
}
