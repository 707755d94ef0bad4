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
import org.limpetring.groups.monitor.ReportRegistry;
import org.limpetring.groups.plan.GroupPlanner;
import org.limpetring.groups.plan.PlannerInput;
import org.limpetring.groups.plan.PlannerPolicy;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;

/** Measures the CPU time of one planner run for fleets of several sizes. */
public final class PlannerCostRun {

  private static final int ROUNDS = 1_000;
  private static final double NANOS_PER_MICRO = 1_000.0;
  private static final Logger LOGGER = Logger.getLogger("org.limpetring");

  private PlannerCostRun() {}

  /** Takes no arguments. */
  public static void main(String[] arguments) {
    LOGGER.setLevel(Level.OFF);
    measure("55 hosts, 3 domains", SimulationConfig.fleet(3, 1, 55, 0, PlannerPolicy.DEFAULT));
    measure("220 hosts, 4 domains", SimulationConfig.fleet(4, 1, 220, 0, PlannerPolicy.DEFAULT));
    measure("850 hosts, 14 domains", SimulationConfig.fleet(7, 2, 850, 0, PlannerPolicy.DEFAULT));
    measure("850 hosts, 1 domain", SimulationConfig.fleet(1, 1, 850, 0, PlannerPolicy.DEFAULT));
  }

  private static void measure(String label, SimulationConfig size) {
    GroupSimulation simulation = new GroupSimulation(size);
    simulation.engineList().forEach(engine -> engine.addWeights(FakeWeightStore.MODEL));
    for (int step = 0; step < 60; step++) {
      simulation.advance();
    }
    PlannerInput input = input(simulation);
    GroupPlanner planner = new GroupPlanner(PlannerPolicy.DEFAULT);
    run(planner, input, simulation);
    long perDecisionNanos = run(planner, input, simulation) / ROUNDS;
    int bytes = PlanCodec.encode(input.plan()).length();
    System.out.println(
        String.format(
            Locale.ROOT,
            "%-22s %8.1f us per decision, plan of %d bytes with %d groups",
            label,
            perDecisionNanos / NANOS_PER_MICRO,
            bytes,
            input.plan().groups().size()));
  }

  private static long run(GroupPlanner planner, PlannerInput input, GroupSimulation simulation) {
    long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    for (int round = 0; round < ROUNDS; round++) {
      planner.plan(input, simulation.clock.nowMs());
    }
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos;
  }

  private static PlannerInput input(GroupSimulation simulation) {
    ReportRegistry registry = new ReportRegistry();
    for (FakeEngine engine : simulation.engineList()) {
      ReportResult result = new ReportResult.Reported(engine.report());
      registry.onResult(engine.host, result, simulation.clock.nowMs());
    }
    List<Plan> others = new ArrayList<>();
    for (FabricDomain domain : simulation.domains.subList(1, simulation.domains.size())) {
      others.add(plan(simulation.store, domain));
    }
    return new PlannerInput(
        plan(simulation.store, simulation.domains.get(0)),
        others,
        simulation.config.pools(),
        simulation.config.marks(),
        simulation.hosts,
        registry,
        simulation.serving(),
        Set.of());
  }

  private static Plan plan(ObjectStore store, FabricDomain domain) {
    ReadResult result = store.get(PlanCodec.key(domain));
    return result instanceof ReadResult.Found found
        ? PlanCodec.decode(found.object().value())
        : Plan.empty(domain);
  }
}
