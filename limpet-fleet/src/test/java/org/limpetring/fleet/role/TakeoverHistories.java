package org.limpetring.fleet.role;

import java.util.SplittableRandom;

/**
 * Long randomised run of role takeovers.
 *
 * <p>Run with {@code -Dlimpet.seed=1 -Dlimpet.minutes=60}; a failure message contains its seed.
 */
public final class TakeoverHistories {

  private static final int STEPS = 80;
  private static final long MS_PER_MINUTE = 60_000;

  /** Totals of one run. */
  record Totals(int histories, long epochs, long actions) {}

  private TakeoverHistories() {}

  /** Runs histories with seeds from {@code limpet.seed} on for {@code limpet.minutes}. */
  public static void main(String[] arguments) {
    long seed = Long.getLong("limpet.seed", 1);
    long endMs = System.currentTimeMillis() + Long.getLong("limpet.minutes", 1) * MS_PER_MINUTE;
    Totals totals = run(seed, Integer.MAX_VALUE, endMs);
    System.out.println("first seed " + seed + ": " + totals);
  }

  static Totals run(long firstSeed, int histories, long endMs) {
    int done = 0;
    long epochs = 0;
    long actions = 0;
    while (done < histories && System.currentTimeMillis() < endMs) {
      long seed = firstSeed + done;
      TakeoverSimulation simulation = new TakeoverSimulation(seed);
      SplittableRandom random = new SplittableRandom(seed);
      try {
        for (int step = 0; step < STEPS; step++) {
          TakeoverStep.draw(random).run(simulation);
        }
      } catch (AssertionError failure) {
        throw new AssertionError("seed " + seed + ": " + failure.getMessage(), failure);
      }
      done++;
      epochs += simulation.epoch();
      actions += simulation.actions();
    }
    return new Totals(done, epochs, actions);
  }
}
