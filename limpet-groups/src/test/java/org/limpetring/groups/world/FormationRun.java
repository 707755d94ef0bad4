package org.limpetring.groups.world;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.plan.PlannerPolicy;
import org.limpetring.store.HostEntry;
import org.limpetring.tables.ServiceMarks;

/**
 * Measures group downtime and stranded hosts under random member failures, and service while a
 * failure domain is taken out of service and returned, for several policies with the same seeds.
 */
public final class FormationRun {

  private static final PlannerPolicy DEFAULT = PlannerPolicy.DEFAULT;
  private static final long NEVER_MS = Long.MAX_VALUE / 4;
  private static final Logger LOGGER = Logger.getLogger("org.limpetring");

  private FormationRun() {}

  /**
   * Arguments: {@code failures} or {@code domain}, the number of hosts (55 or 850) and the seeds.
   * The system property {@code limpet.variants} selects policies.
   */
  public static void main(String[] arguments) {
    LOGGER.setLevel(Level.OFF);
    boolean isLarge = arguments[1].equals("850");
    String selected = System.getProperty("limpet.variants", "");
    for (Variant variant : Variant.values()) {
      if (!selected.isEmpty() && !List.of(selected.split(",")).contains(variant.name())) {
        continue;
      }
      Totals totals = new Totals();
      for (int index = 2; index < arguments.length; index++) {
        long seed = Long.parseLong(arguments[index]);
        if (arguments[0].equals("failures")) {
          memberFailures(variant, isLarge, seed, totals);
        } else {
          domainOutage(variant, isLarge, seed, totals);
        }
      }
      System.out.println(totals.summary(variant));
    }
  }

  private static GroupSimulation simulation(Variant variant, boolean isLarge, int groupsWanted) {
    GroupSimulation simulation =
        new GroupSimulation(
            isLarge
                ? SimulationConfig.fleet(7, 2, 850, groupsWanted, variant.policy)
                : SimulationConfig.fleet(3, 1, 55, groupsWanted, variant.policy));
    simulation.engineList().forEach(engine -> engine.addWeights(FakeWeightStore.MODEL));
    for (int step = 0; step < 100; step++) {
      simulation.advance();
    }
    return simulation;
  }

  private static void memberFailures(Variant variant, boolean isLarge, long seed, Totals totals) {
    GroupSimulation simulation = simulation(variant, isLarge, 0);
    Random random = new Random(seed);
    int fullGroupCount = simulation.serving().size();
    List<Recovery> recoveries = new ArrayList<>();
    double meanGapMs = isLarge ? 20_000 : 150_000;
    long nextMs = simulation.clock.nowMs();
    int failures = 0;
    while (failures < 100 || !recoveries.isEmpty()) {
      long nowMs = simulation.clock.nowMs();
      if (failures < 100 && nowMs >= nextMs) {
        failures += fail(simulation, random, recoveries, nowMs);
        nextMs = nowMs + (long) (-Math.log(1 - random.nextDouble()) * meanGapMs);
      }
      recoveries.removeIf(recovery -> recovery.isDone(nowMs));
      simulation.advance();
      totals.add(simulation, fullGroupCount);
    }
    totals.failures += failures;
  }

  /** Fails a random host: 60 % of the failures are pauses, 30 % restarts and 10 % long losses. */
  private static int fail(
      GroupSimulation simulation, Random random, List<Recovery> recoveries, long nowMs) {
    FakeEngine engine = simulation.engineList().get(random.nextInt(simulation.engines.size()));
    int kind = random.nextInt(10);
    boolean losesWeights = random.nextBoolean();
    double length = random.nextDouble();
    boolean isMember =
        simulation.plannedGroups().stream()
            .filter(group -> group.state() == PlannedGroup.State.SERVING)
            .anyMatch(group -> group.members().contains(engine.host));
    if (!engine.isResponsive() || !isMember) {
      return 0;
    }
    if (kind < 6) {
      engine.isPaused = true;
      recoveries.add(new Recovery(engine, nowMs + 1_000 + (long) (length * 19_000)));
    } else if (kind < 9) {
      engine.crash(losesWeights);
      recoveries.add(new Recovery(engine, nowMs + 60_000 + (long) (length * 120_000)));
    } else {
      engine.crash(true);
      recoveries.add(new Recovery(engine, nowMs + 1_800_000));
    }
    return 1;
  }

  private static void domainOutage(Variant variant, boolean isLarge, long seed, Totals totals) {
    int wanted = isLarge ? 150 : 9;
    GroupSimulation simulation = simulation(variant, isLarge, wanted);
    Random random = new Random(seed);
    FailureDomain domain =
        simulation.hosts.get(random.nextInt(simulation.hosts.size())).failureDomain();
    runRequests(simulation, random, 60_000, wanted, totals);
    simulation.setConfig(wanted, new ServiceMarks(Set.of(domain), Set.of()));
    runRequests(simulation, random, 600_000, wanted, totals);
    totals.outageLossMs += totals.downGroupMs;
    simulation.setConfig(wanted, ServiceMarks.NONE);
    double before = totals.downGroupMs;
    runRequests(simulation, random, 300_000, wanted, totals);
    totals.returnLossMs += totals.downGroupMs - before;
    totals.downGroupMs = 0;
    totals.failures += 100;
    simulation.engineList().forEach(engine -> totals.abortedRequests += engine.abortedRequests);
  }

  private static void runRequests(
      GroupSimulation simulation, Random random, long forMs, int wanted, Totals totals) {
    long endMs = simulation.clock.nowMs() + forMs;
    while (simulation.clock.nowMs() < endMs) {
      Set<GroupId> serving = simulation.serving();
      for (PlannedGroup group : simulation.plannedGroups()) {
        FakeEngine entry = simulation.engine(group.entry());
        if (entry.running > 0 && random.nextInt(20) == 0) {
          entry.running--;
        }
        if (serving.contains(group.id()) && random.nextInt(4) == 0) {
          entry.running++;
        }
      }
      simulation.advance();
      totals.add(simulation, wanted);
    }
  }

  /** Planner policy to compare. */
  private enum Variant {
    WAIT_FOR_MEMBER(policy(NEVER_MS, false, false, false)),
    REBUILD_AT_ONCE(policy(1, false, true, false)),
    PATIENCE_3_S(policy(3_000, false, true, false)),
    PATIENCE_3_S_SWAP(policy(3_000, true, true, false)),
    PATIENCE_1_S_PRELOAD(policy(1_000, false, true, true)),
    PATIENCE_3_S_PRELOAD(policy(3_000, false, true, true)),
    PATIENCE_10_S_PRELOAD(policy(10_000, false, true, true)),
    PATIENCE_1_S_BOTH(policy(1_000, true, true, true)),
    PATIENCE_3_S_BOTH(policy(3_000, true, true, true));

    @SuppressWarnings("ImmutableEnumChecker")
    private final PlannerPolicy policy;

    Variant(PlannerPolicy policy) {
      this.policy = policy;
    }

    private static PlannerPolicy policy(
        long lossTimeoutMs,
        boolean replacesLoadingMembers,
        boolean dissolvesIncompleteGroups,
        boolean preloadsSpares) {
      return new PlannerPolicy(
          DEFAULT.freshMs(),
          lossTimeoutMs,
          DEFAULT.drainMinMs(),
          DEFAULT.drainDeadlineMs(),
          DEFAULT.changeIntervalMs(),
          DEFAULT.shortfallTimeoutMs(),
          replacesLoadingMembers,
          dissolvesIncompleteGroups,
          preloadsSpares);
    }
  }

  private record Recovery(FakeEngine engine, long atMs) {

    boolean isDone(long nowMs) {
      if (nowMs < atMs) {
        return false;
      }
      engine.isPaused = false;
      engine.isUp = true;
      return true;
    }
  }

  private static final class Totals {
    private double downGroupMs;
    private double strandedHostMs;
    private double outageLossMs;
    private double returnLossMs;
    private long failures;
    private long abortedRequests;

    void add(GroupSimulation simulation, int fullGroupCount) {
      Set<GroupId> serving = simulation.serving();
      long stepMs = simulation.size.stepMs();
      downGroupMs += (double) Math.max(0, fullGroupCount - serving.size()) * stepMs;
      Set<HostId> busy = new HashSet<>();
      for (PlannedGroup group : simulation.plannedGroups()) {
        if (serving.contains(group.id())) {
          busy.addAll(group.members());
        }
      }
      strandedHostMs += (double) stranded(simulation, busy) * stepMs;
    }

    /**
     * Healthy hosts that are in no serving group, except the remainder that cannot fill a group.
     */
    private static long stranded(GroupSimulation simulation, Set<HostId> busy) {
      long stranded = 0;
      for (var domain : simulation.domains) {
        int healthy = 0;
        int used = 0;
        for (HostEntry entry : simulation.hosts) {
          if (entry.fabricDomain().equals(domain)
              && simulation.engine(entry.host()).isResponsive()) {
            healthy++;
            used += busy.contains(entry.host()) ? 1 : 0;
          }
        }
        int usable = healthy - healthy % simulation.size.groupSize();
        stranded += Math.max(0, usable - used);
      }
      return stranded;
    }

    String summary(Variant variant) {
      double per100 = 100.0 / failures / 1_000;
      return String.format(
          Locale.ROOT,
          "%-22s down %8.0f group-s, stranded %8.0f host-s; out %7.0f, back %7.0f group-s; cut %d",
          variant,
          downGroupMs * per100,
          strandedHostMs * per100,
          outageLossMs * per100,
          returnLossMs * per100,
          abortedRequests);
    }
  }
}
