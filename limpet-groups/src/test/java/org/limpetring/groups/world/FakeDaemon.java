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

/** One daemon: a real controller between a faulty store and the fake engines. */
final class FakeDaemon implements MemberPort, GroupInputs {

  private static final long CLOCK_SKEW_MS = 77_777_777;

  final DaemonId id;
  final FaultyObjectStore store;
  final GroupController controller;
  final Set<FabricDomain> planned = new HashSet<>();
  final Set<HostId> unreachable = new HashSet<>();
  final Set<FakeDaemon> parted = new HashSet<>();
  private final List<Observation> inbox = new ArrayList<>();
  final List<MemberOrder> heldOrders = new ArrayList<>();
  boolean lagsConfig;
  boolean isPaused;
  boolean holdsOrders;
  boolean losesOrderAnswers;
  AcceptedConfig config;
  List<HostEntry> hosts = List.of();
  private final GroupWorld world;
  private final int index;
  private long sentVersion;

  FakeDaemon(GroupWorld world, int index, ControlSettings settings) {
    this.world = world;
    this.index = index;
    this.id = new DaemonId("d" + index);
    this.store = new FaultyObjectStore(world.store);
    this.config = world.config;
    this.controller =
        new GroupController(
            id,
            () -> world.clock.nowMs() + index * CLOCK_SKEW_MS,
            store,
            this,
            this,
            settings,
            Runnable::run,
            Runnable::run);
  }

  /** Ticks and hands the observation to the other daemons if it is new. */
  void tick() {
    inbox.forEach(controller::onObservation);
    inbox.clear();
    controller.tick();
    if (controller.observation().version() > sentVersion) {
      sentVersion = controller.observation().version();
      world.spread(this, controller.observation());
    }
  }

  /** Receives at once, or keeps in the receive buffer while the process is paused. */
  void receive(Observation observation) {
    if (isPaused) {
      inbox.add(observation);
    } else {
      controller.onObservation(observation);
    }
  }

  @Override
  public ReportResult report(String address) {
    FakeEngine engine = world.engineAt(address);
    if (unreachable.contains(engine.host) || !engine.answers()) {
      return new ReportResult.Missing("no answer");
    }
    return new ReportResult.Reported(engine.report());
  }

  @Override
  public OrderResult order(String address, MemberOrder order) {
    if (holdsOrders) {
      heldOrders.add(order);
      return new OrderResult.Unknown("held");
    }
    FakeEngine engine = world.engineAt(address);
    if (unreachable.contains(engine.host) || !engine.answers()) {
      return new OrderResult.Unknown("no answer");
    }
    OrderResult result = engine.order(order, world.weights);
    return losesOrderAnswers ? new OrderResult.Unknown("answer lost") : result;
  }

  /** Lets the held orders arrive, however late. */
  void deliverHeldOrders() {
    for (MemberOrder order : heldOrders) {
      FakeEngine engine = world.engine(order.host());
      if (engine.answers()) {
        engine.order(order, world.weights);
      }
    }
    heldOrders.clear();
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
    return world.weights.limits();
  }

  @Override
  public boolean mayPlan(FabricDomain domain) {
    return planned.contains(domain);
  }

  @Override
  public boolean observes(HostId host) {
    return world.isObserver(index, host);
  }
}
