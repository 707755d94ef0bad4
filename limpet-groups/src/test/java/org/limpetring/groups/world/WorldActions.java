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

/** What can happen to a world; each takes a number that chooses the victim. */
enum WorldActions {
  WAIT_SHORT((world, choice) -> world.steps(1 + choice % 8)),
  WAIT_LONG((world, choice) -> world.steps(10 + choice % 20)),
  CRASH((world, choice) -> engine(world, choice).crash(choice % 2 == 0)),
  START((world, choice) -> engine(world, choice).isUp = true),
  PAUSE((world, choice) -> engine(world, choice).isPaused = true),
  RESUME((world, choice) -> world.engineList().forEach(engine -> engine.isPaused = false)),
  BOUNCE((world, choice) -> engine(world, choice).bounce()),
  LEAVE((world, choice) -> engine(world, choice).isLeaving = true),
  STAY((world, choice) -> world.engineList().forEach(engine -> engine.isLeaving = false)),
  FABRIC_DARK((world, choice) -> setDark(world, domain(world, choice), true)),
  FABRIC_LIGHT((world, choice) -> setDark(world, domain(world, choice), false)),
  STORE_DOWN((world, choice) -> daemon(world, choice).store.setDown(true)),
  STORE_UP((world, choice) -> world.daemons.forEach(daemon -> daemon.store.setDown(false))),
  STORE_LOSES_ANSWER((world, choice) -> daemon(world, choice).store.loseAnswers(1 + choice % 2)),
  ADD_PLANNER((world, choice) -> daemon(world, choice).planned.add(domain(world, choice / 3))),
  MOVE_PLANNER(
      (world, choice) -> {
        world.daemons.forEach(daemon -> daemon.planned.remove(domain(world, choice / 3)));
        daemon(world, choice).planned.add(domain(world, choice / 3));
      }),
  HOLD_ORDERS((world, choice) -> daemon(world, choice).holdsOrders = true),
  DELIVER_ORDERS(
      (world, choice) -> {
        FakeDaemon daemon = daemon(world, choice);
        daemon.holdsOrders = false;
        daemon.deliverHeldOrders();
      }),
  LOSE_ORDER_ANSWERS((world, choice) -> daemon(world, choice).losesOrderAnswers = true),
  PAUSE_DAEMON((world, choice) -> daemon(world, choice).isPaused = true),
  RESUME_DAEMON((world, choice) -> world.daemons.forEach(daemon -> daemon.isPaused = false)),
  CUT_OFF_HOST(
      (world, choice) -> daemon(world, choice).unreachable.add(engine(world, choice / 3).host)),
  PART_DAEMONS((world, choice) -> daemon(world, choice).parted.add(daemon(world, choice / 3))),
  HEAL(
      (world, choice) -> {
        for (FakeDaemon daemon : world.daemons) {
          daemon.unreachable.clear();
          daemon.parted.clear();
        }
      }),
  LIST_LOSES_HOST(
      (world, choice) -> {
        HostId host = engine(world, choice).host;
        FakeDaemon daemon = daemon(world, choice);
        daemon.hosts = daemon.hosts.stream().filter(entry -> !entry.host().equals(host)).toList();
      }),
  LIST_SAYS_LEAVING(
      (world, choice) -> {
        HostId host = engine(world, choice).host;
        for (FakeDaemon daemon : world.daemons) {
          daemon.hosts =
              daemon.hosts.stream()
                  .map(entry -> entry.host().equals(host) ? leaving(entry) : entry)
                  .toList();
        }
      }),
  LAG_CONFIG((world, choice) -> daemon(world, choice).lagsConfig = true),
  CONFIG_CURRENT(
      (world, choice) -> {
        for (FakeDaemon daemon : world.daemons) {
          daemon.lagsConfig = false;
          daemon.config = world.config;
        }
      }),
  LIST_CURRENT(
      (world, choice) -> world.daemons.forEach(daemon -> daemon.hosts = List.copyOf(world.hosts))),
  DOMAIN_OUT((world, choice) -> mark(world, choice, true)),
  DOMAIN_IN((world, choice) -> mark(world, choice, false)),
  HOST_OUT(
      (world, choice) -> {
        Set<HostId> out = new HashSet<>(world.config.marks().outHosts());
        out.add(engine(world, choice).host);
        world.setConfig(
            world.size.groupsWanted(), new ServiceMarks(world.config.marks().outDomains(), out));
      }),
  HOSTS_IN(
      (world, choice) ->
          world.setConfig(
              world.size.groupsWanted(),
              new ServiceMarks(world.config.marks().outDomains(), Set.of()))),
  START_REQUEST(
      (world, choice) -> {
        List<PlannedGroup> serving =
            world.plannedGroups().stream()
                .filter(group -> world.serving().contains(group.id()))
                .toList();
        if (!serving.isEmpty()) {
          world.engine(serving.get(choice % serving.size()).entry()).running++;
        }
      }),
  FINISH_REQUESTS((world, choice) -> engine(world, choice).running = 0);

  @SuppressWarnings("ImmutableEnumChecker")
  private final BiConsumer<GroupWorld, Integer> effect;

  WorldActions(BiConsumer<GroupWorld, Integer> effect) {
    this.effect = effect;
  }

  /** Planned moves only: nothing fails and nobody is misled. */
  static final List<WorldActions> PLANNED_MOVES =
      List.of(
          WAIT_SHORT,
          WAIT_LONG,
          LEAVE,
          STAY,
          LIST_SAYS_LEAVING,
          LIST_CURRENT,
          LAG_CONFIG,
          CONFIG_CURRENT,
          STORE_LOSES_ANSWER,
          ADD_PLANNER,
          MOVE_PLANNER,
          LOSE_ORDER_ANSWERS,
          DOMAIN_OUT,
          DOMAIN_IN,
          HOST_OUT,
          HOSTS_IN,
          START_REQUEST,
          FINISH_REQUESTS);

  void apply(GroupWorld world, int choice) {
    effect.accept(world, choice);
    world.step();
  }

  /** Ends every fault and every mark, but what has crashed stays down unless it is started. */
  static void calm(GroupWorld world, boolean startsHosts) {
    for (FakeEngine engine : world.engineList()) {
      engine.isUp |= startsHosts;
      engine.isPaused = false;
      engine.isDark = false;
      engine.isLeaving = false;
      engine.running = 0;
    }
    for (FakeDaemon daemon : world.daemons) {
      daemon.store.setDown(false);
      daemon.store.loseAnswers(0);
      daemon.isPaused = false;
      daemon.holdsOrders = false;
      daemon.deliverHeldOrders();
      daemon.losesOrderAnswers = false;
      daemon.lagsConfig = false;
      daemon.unreachable.clear();
      daemon.parted.clear();
      daemon.hosts = List.copyOf(world.hosts);
    }
    world.setConfig(world.size.groupsWanted(), ServiceMarks.NONE);
  }

  private static FakeEngine engine(GroupWorld world, int choice) {
    return world.engineList().get(choice % world.engines.size());
  }

  private static FakeDaemon daemon(GroupWorld world, int choice) {
    return world.daemons.get(choice % world.daemons.size());
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

  private static FabricDomain domain(GroupWorld world, int choice) {
    return world.domains.get(choice % world.domains.size());
  }

  private static void setDark(GroupWorld world, FabricDomain domain, boolean isDark) {
    for (HostEntry entry : world.hosts) {
      if (entry.fabricDomain().equals(domain)) {
        world.engine(entry.host()).isDark = isDark;
      }
    }
  }

  private static void mark(GroupWorld world, int choice, boolean isOut) {
    FailureDomain domain = world.hosts.get(choice % world.hosts.size()).failureDomain();
    Set<FailureDomain> out =
        world.config.marks().outDomains().stream()
            .filter(other -> !other.equals(domain))
            .collect(Collectors.toCollection(HashSet::new));
    if (isOut) {
      out.add(domain);
    }
    world.setConfig(
        world.size.groupsWanted(), new ServiceMarks(out, world.config.marks().outHosts()));
  }
}
