package org.limpetring.groups.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.limpetring.groups.world.GroupHistoryTest.Step;

/** Long run of random histories; prints the seed of each that breaks a promise. */
public final class HistoryRun {

  private static final int MAX_ACTIONS = 60;
  private static final Logger LOGGER = Logger.getLogger("org.limpetring");

  private HistoryRun() {}

  /** Takes the run time in seconds and the first seed. */
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
      runPlannedMoves(random, done);
      return true;
    } catch (AssertionError | RuntimeException failure) {
      System.out.println("seed " + seed + ": " + failure + "\n  " + done);
      return false;
    }
  }

  private static void runFaults(Random random, List<Step> done) {
    GroupWorld world =
        new GroupWorld(WorldSize.small(random.nextBoolean(), random.nextBoolean() ? 0 : 3));
    world.steps(40);
    apply(world, List.of(WorldActions.values()), random, done);
    WorldActions.calm(world, random.nextBoolean());
    world.steps(GroupHistoryTest.CALM_STEPS);
    GroupHistoryTest.checkAllServe(world);
  }

  private static void runPlannedMoves(Random random, List<Step> done) {
    GroupWorld world = new GroupWorld(WorldSize.small(true, random.nextBoolean() ? 0 : 3));
    world.steps(40);
    apply(world, WorldActions.PLANNED_MOVES, random, done);
    GroupHistoryTest.checkNothingCut(world);
  }

  private static void apply(
      GroupWorld world, List<WorldActions> actions, Random random, List<Step> done) {
    int count = random.nextInt(MAX_ACTIONS);
    for (int index = 0; index < count; index++) {
      Step step = new Step(actions.get(random.nextInt(actions.size())), random.nextInt(5_040));
      done.add(step);
      step.action().apply(world, step.choice());
    }
  }
}
