package org.limpetring.groups.world;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.limpetring.base.FabricDomain;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlanCodec;
import org.limpetring.groups.ReportResult;
import org.limpetring.groups.monitor.ReportBook;
import org.limpetring.groups.plan.GroupPlanner;
import org.limpetring.groups.plan.PlannerInput;
import org.limpetring.groups.plan.PlannerPolicy;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;

/** Measures the processor time of one decision of the planner for fleets of several sizes. */
public final class PlannerCostRun {

  private static final int ROUNDS = 1_000;
  private static final double NANOS_PER_MICRO = 1_000.0;
  private static final Logger LOGGER = Logger.getLogger("org.limpetring");

  private PlannerCostRun() {}

  /** Takes no arguments. */
  public static void main(String[] arguments) {
    LOGGER.setLevel(Level.OFF);
    measure("55 hosts, 3 domains", WorldSize.fleet(3, 1, 55, 0, PlannerPolicy.DEFAULT));
    measure("220 hosts, 4 domains", WorldSize.fleet(4, 1, 220, 0, PlannerPolicy.DEFAULT));
    measure("850 hosts, 14 domains", WorldSize.fleet(7, 2, 850, 0, PlannerPolicy.DEFAULT));
    measure("850 hosts, 1 domain", WorldSize.fleet(1, 1, 850, 0, PlannerPolicy.DEFAULT));
  }

  private static void measure(String label, WorldSize size) {
    GroupWorld world = new GroupWorld(size);
    world.engineList().forEach(engine -> engine.hold(FakeWeights.MODEL));
    for (int step = 0; step < 60; step++) {
      world.advance();
    }
    PlannerInput input = input(world);
    GroupPlanner planner = new GroupPlanner(PlannerPolicy.DEFAULT);
    run(planner, input, world);
    long perDecisionNanos = run(planner, input, world) / ROUNDS;
    int bytes = PlanCodec.encode(input.plan()).length();
    System.out.println(
        String.format(
            Locale.ROOT,
            "%-22s %8.1f us a decision, plan of %d bytes with %d groups",
            label,
            perDecisionNanos / NANOS_PER_MICRO,
            bytes,
            input.plan().groups().size()));
  }

  private static long run(GroupPlanner planner, PlannerInput input, GroupWorld world) {
    long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    for (int round = 0; round < ROUNDS; round++) {
      planner.plan(input, world.clock.nowMs());
    }
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos;
  }

  private static PlannerInput input(GroupWorld world) {
    ReportBook book = new ReportBook();
    for (FakeEngine engine : world.engineList()) {
      ReportResult result = new ReportResult.Reported(engine.report());
      book.onResult(engine.host, result, world.clock.nowMs());
    }
    List<Plan> others = new ArrayList<>();
    for (FabricDomain domain : world.domains.subList(1, world.domains.size())) {
      others.add(plan(world.store, domain));
    }
    return new PlannerInput(
        plan(world.store, world.domains.get(0)),
        others,
        world.config.pools(),
        world.config.marks(),
        world.hosts,
        book,
        world.serving(),
        Set.of());
  }

  private static Plan plan(ObjectStore store, FabricDomain domain) {
    ReadResult result = store.get(PlanCodec.key(domain));
    return result instanceof ReadResult.Found found
        ? PlanCodec.decode(found.object().value())
        : Plan.empty(domain);
  }
}
