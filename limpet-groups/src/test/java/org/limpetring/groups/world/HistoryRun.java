package org.limpetring.groups.world;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.limpetring.groups.world.GroupHistoryTest.Step;

/**
 * Runs random fault histories for a given time and prints the seed of each that violates an
 * invariant.
 */
public final class HistoryRun {

  private static final int MAX_ACTIONS = 60;
  private static final Logger LOGGER = Logger.getLogger("org.limpetring");

  private HistoryRun() {}

  /** Arguments: the run time in seconds and the first seed. */
  public static void main(String[] arguments) {
    LOGGER.setLevel(Level.OFF);
    long endMs = System.currentTimeMillis() + Long.parseLong(arguments[0]) * 1_000;
    long seed = Long.parseLong(arguments[1]);
    long failed = 0;
    long first = seed;
    while (System.currentTimeMillis() < endMs) {
      if (!run(seed)) {
        failed++;
      }
      seed++;
    }
    System.out.println("seeds " + first + " to " + (seed - 1) + ", failed " + failed);
    System.exit(failed == 0 ? 0 : 1);
  }

  private static boolean run(long seed) {
    List<Step> done = new ArrayList<>();
    try {
      Random random = new Random(seed);
      runFaults(random, done);
      done.clear();
      runPlannedChanges(random, done);
      runLosses(random);
      return true;
    } catch (AssertionError | RuntimeException failure) {
      System.out.println("seed " + seed + ": " + failure + "\n  " + done);
      return false;
    }
  }

  private static void runFaults(Random random, List<Step> done) {
    GroupSimulation simulation =
        new GroupSimulation(
            SimulationConfig.small(random.nextBoolean(), random.nextBoolean() ? 0 : 3));
    simulation.steps(40);
    apply(simulation, List.of(SimulationAction.values()), random, done);
    SimulationAction.clearFaults(simulation, random.nextBoolean());
    simulation.steps(GroupHistoryTest.RECOVERY_STEPS);
    GroupHistoryTest.checkAllServe(simulation);
  }

  private static void runPlannedChanges(Random random, List<Step> done) {
    GroupSimulation simulation =
        new GroupSimulation(SimulationConfig.small(true, random.nextBoolean() ? 0 : 3));
    simulation.steps(40);
    apply(simulation, SimulationAction.PLANNED_CHANGES, random, done);
    GroupHistoryTest.checkNothingAborted(simulation);
  }

  private static void runLosses(Random random) {
    Set<Integer> crashed = new HashSet<>();
    while (crashed.size() < 8 && random.nextInt(8) > 0) {
      crashed.add(random.nextInt(14));
    }
    new FormationTest().survivorsServeMaximumGroups(crashed, random.nextBoolean());
  }

  private static void apply(
      GroupSimulation simulation, List<SimulationAction> actions, Random random, List<Step> done) {
    int count = random.nextInt(MAX_ACTIONS);
    for (int index = 0; index < count; index++) {
      Step step = new Step(actions.get(random.nextInt(actions.size())), random.nextInt(5_040));
      done.add(step);
      step.action().apply(simulation, step.choice());
    }
  }
}
