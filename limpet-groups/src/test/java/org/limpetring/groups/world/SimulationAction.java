package org.limpetring.groups.world;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.store.HostEntry;
import org.limpetring.tables.ServiceMarks;

/**
 * Events and faults that can be applied to a simulation; each takes a number that selects its
 * target.
 */
enum SimulationAction {
  WAIT_SHORT((simulation, choice) -> simulation.steps(1 + choice % 8)),
  WAIT_LONG((simulation, choice) -> simulation.steps(10 + choice % 20)),
  CRASH((simulation, choice) -> engine(simulation, choice).crash(choice % 2 == 0)),
  START((simulation, choice) -> engine(simulation, choice).isUp = true),
  PAUSE((simulation, choice) -> engine(simulation, choice).isPaused = true),
  RESUME(
      (simulation, choice) -> simulation.engineList().forEach(engine -> engine.isPaused = false)),
  RESTART_IN_PLACE((simulation, choice) -> engine(simulation, choice).restartInPlace()),
  LEAVE((simulation, choice) -> engine(simulation, choice).isLeaving = true),
  STAY((simulation, choice) -> simulation.engineList().forEach(engine -> engine.isLeaving = false)),
  FABRIC_DOWN(
      (simulation, choice) -> setDisconnected(simulation, domain(simulation, choice), true)),
  FABRIC_UP((simulation, choice) -> setDisconnected(simulation, domain(simulation, choice), false)),
  STORE_DOWN((simulation, choice) -> daemon(simulation, choice).store.setDown(true)),
  STORE_UP(
      (simulation, choice) -> simulation.daemons.forEach(daemon -> daemon.store.setDown(false))),
  STORE_LOSES_RESPONSE(
      (simulation, choice) -> daemon(simulation, choice).store.loseAnswers(1 + choice % 2)),
  ADD_PLANNER(
      (simulation, choice) ->
          daemon(simulation, choice).plannedDomains.add(domain(simulation, choice / 3))),
  MOVE_PLANNER(
      (simulation, choice) -> {
        simulation.daemons.forEach(
            daemon -> daemon.plannedDomains.remove(domain(simulation, choice / 3)));
        daemon(simulation, choice).plannedDomains.add(domain(simulation, choice / 3));
      }),
  DELAY_ORDERS((simulation, choice) -> daemon(simulation, choice).delaysOrders = true),
  DELIVER_DELAYED_ORDERS(
      (simulation, choice) -> {
        FakeDaemon daemon = daemon(simulation, choice);
        daemon.delaysOrders = false;
        daemon.deliverDelayedOrders();
      }),
  LOSE_ORDER_RESPONSES(
      (simulation, choice) -> daemon(simulation, choice).losesOrderResponses = true),
  PAUSE_DAEMON((simulation, choice) -> daemon(simulation, choice).isPaused = true),
  RESUME_DAEMON(
      (simulation, choice) -> simulation.daemons.forEach(daemon -> daemon.isPaused = false)),
  BLOCK_HOST(
      (simulation, choice) ->
          daemon(simulation, choice).unreachableHosts.add(engine(simulation, choice / 3).host)),
  PARTITION_DAEMONS(
      (simulation, choice) ->
          daemon(simulation, choice).partitionedFrom.add(daemon(simulation, choice / 3))),
  HEAL_NETWORK(
      (simulation, choice) -> {
        for (FakeDaemon daemon : simulation.daemons) {
          daemon.unreachableHosts.clear();
          daemon.partitionedFrom.clear();
        }
      }),
  LIST_LOSES_HOST(
      (simulation, choice) -> {
        HostId host = engine(simulation, choice).host;
        FakeDaemon daemon = daemon(simulation, choice);
        daemon.hosts = daemon.hosts.stream().filter(entry -> !entry.host().equals(host)).toList();
      }),
  LIST_MARKS_LEAVING(
      (simulation, choice) -> {
        HostId host = engine(simulation, choice).host;
        for (FakeDaemon daemon : simulation.daemons) {
          daemon.hosts =
              daemon.hosts.stream()
                  .map(entry -> entry.host().equals(host) ? leaving(entry) : entry)
                  .toList();
        }
      }),
  FREEZE_CONFIG((simulation, choice) -> daemon(simulation, choice).hasStaleConfig = true),
  REFRESH_CONFIG(
      (simulation, choice) -> {
        for (FakeDaemon daemon : simulation.daemons) {
          daemon.hasStaleConfig = false;
          daemon.config = simulation.config;
        }
      }),
  REFRESH_LIST(
      (simulation, choice) ->
          simulation.daemons.forEach(daemon -> daemon.hosts = List.copyOf(simulation.hosts))),
  DOMAIN_OUT((simulation, choice) -> mark(simulation, choice, true)),
  DOMAIN_IN((simulation, choice) -> mark(simulation, choice, false)),
  HOST_OUT(
      (simulation, choice) -> {
        Set<HostId> out = new HashSet<>(simulation.config.marks().outHosts());
        out.add(engine(simulation, choice).host);
        simulation.setConfig(
            simulation.size.groupsWanted(),
            new ServiceMarks(simulation.config.marks().outDomains(), out));
      }),
  HOSTS_IN(
      (simulation, choice) ->
          simulation.setConfig(
              simulation.size.groupsWanted(),
              new ServiceMarks(simulation.config.marks().outDomains(), Set.of()))),
  START_REQUEST(
      (simulation, choice) -> {
        List<PlannedGroup> serving =
            simulation.plannedGroups().stream()
                .filter(group -> simulation.serving().contains(group.id()))
                .toList();
        if (!serving.isEmpty()) {
          simulation.engine(serving.get(choice % serving.size()).entry()).running++;
        }
      }),
  FINISH_REQUESTS((simulation, choice) -> engine(simulation, choice).running = 0);

  @SuppressWarnings("ImmutableEnumChecker")
  private final BiConsumer<GroupSimulation, Integer> effect;

  SimulationAction(BiConsumer<GroupSimulation, Integer> effect) {
    this.effect = effect;
  }

  /**
   * Actions of planned operation: no host, daemon or network fails and no stale order is delivered.
   */
  static final List<SimulationAction> PLANNED_CHANGES =
      List.of(
          WAIT_SHORT,
          WAIT_LONG,
          LEAVE,
          STAY,
          LIST_MARKS_LEAVING,
          REFRESH_LIST,
          FREEZE_CONFIG,
          REFRESH_CONFIG,
          STORE_LOSES_RESPONSE,
          ADD_PLANNER,
          MOVE_PLANNER,
          LOSE_ORDER_RESPONSES,
          DOMAIN_OUT,
          DOMAIN_IN,
          HOST_OUT,
          HOSTS_IN,
          START_REQUEST,
          FINISH_REQUESTS);

  void apply(GroupSimulation simulation, int choice) {
    effect.accept(simulation, choice);
    simulation.step();
  }

  /**
   * Clears all faults and service marks; crashed engines stay down unless {@code restartsHosts}.
   */
  static void clearFaults(GroupSimulation simulation, boolean restartsHosts) {
    for (FakeEngine engine : simulation.engineList()) {
      engine.isUp |= restartsHosts;
      engine.isPaused = false;
      engine.isDisconnected = false;
      engine.isLeaving = false;
      engine.running = 0;
    }
    for (FakeDaemon daemon : simulation.daemons) {
      daemon.store.setDown(false);
      daemon.store.loseAnswers(0);
      daemon.isPaused = false;
      daemon.delaysOrders = false;
      daemon.deliverDelayedOrders();
      daemon.losesOrderResponses = false;
      daemon.hasStaleConfig = false;
      daemon.unreachableHosts.clear();
      daemon.partitionedFrom.clear();
      daemon.hosts = List.copyOf(simulation.hosts);
    }
    simulation.setConfig(simulation.size.groupsWanted(), ServiceMarks.NONE);
  }

  private static FakeEngine engine(GroupSimulation simulation, int choice) {
    return simulation.engineList().get(choice % simulation.engines.size());
  }

  private static FakeDaemon daemon(GroupSimulation simulation, int choice) {
    return simulation.daemons.get(choice % simulation.daemons.size());
  }

  private static HostEntry leaving(HostEntry entry) {
    return new HostEntry(
        entry.host(),
        entry.address(),
        entry.failureDomain(),
        entry.fabricDomain(),
        true,
        entry.accelerators());
  }

  private static FabricDomain domain(GroupSimulation simulation, int choice) {
    return simulation.domains.get(choice % simulation.domains.size());
  }

  private static void setDisconnected(
      GroupSimulation simulation, FabricDomain domain, boolean isDisconnected) {
    for (HostEntry entry : simulation.hosts) {
      if (entry.fabricDomain().equals(domain)) {
        simulation.engine(entry.host()).isDisconnected = isDisconnected;
      }
    }
  }

  private static void mark(GroupSimulation simulation, int choice, boolean isOut) {
    FailureDomain domain = simulation.hosts.get(choice % simulation.hosts.size()).failureDomain();
    Set<FailureDomain> out =
        simulation.config.marks().outDomains().stream()
            .filter(other -> !other.equals(domain))
            .collect(Collectors.toCollection(HashSet::new));
    if (isOut) {
      out.add(domain);
    }
    simulation.setConfig(
        simulation.size.groupsWanted(),
        new ServiceMarks(out, simulation.config.marks().outHosts()));
  }
}
