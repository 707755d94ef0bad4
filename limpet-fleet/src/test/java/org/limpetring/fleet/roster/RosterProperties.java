package org.limpetring.fleet.roster;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.limpetring.base.DaemonId;

/** Changes of the roster under races, lost answers, outages, mass loss and replacement. */
final class RosterProperties {

  // One of two daemons can never evict the other: that would be half of the roster.
  private static final int MIN_STAYING = 3;
  private static final int MAX_WRITES_PER_DOMAIN = 4;

  private enum Op {
    START,
    STOP,
    LOSE,
    LOSE_ANSWER,
    DOWN,
    UP,
    ADVANCE,
    ADVANCE_SILENTLY
  }

  private record Step(Op op, int number) {

    void run(RosterWorld world) {
      List<DaemonId> running = world.running();
      DaemonId chosen = running.get(number % running.size());
      switch (op) {
        case START -> world.start();
        case STOP -> {
          if (world.staying() > MIN_STAYING) {
            world.stop(chosen);
          }
        }
        case LOSE -> {
          if (world.staying() > MIN_STAYING) {
            world.lose(List.of(chosen));
          }
        }
        case LOSE_ANSWER -> world.faults().loseAnswers(1);
        case DOWN -> world.faults().setDown(true);
        case UP -> world.faults().setDown(false);
        case ADVANCE -> world.advance(number * 100, true);
        case ADVANCE_SILENTLY -> world.advance(number * 100, false);
      }
    }
  }

  @Property(tries = 200, seed = "20261204")
  void theRosterListsWhoRuns(@ForAll("steps") List<Step> steps) {
    RosterWorld world = fleet(4);
    steps.forEach(step -> step.run(world));
    world.settle();
  }

  @Example
  void losingAFailureDomainCostsFewWrites() {
    RosterWorld world = fleet(330);
    int before = world.writes();
    world.lose(world.running().subList(0, 110));
    world.settle();
    assertThat(world.writes() - before).isAtMost(MAX_WRITES_PER_DOMAIN);
  }

  @Example
  void mostOfTheRosterIsNeverEvictedAtOnce() {
    RosterWorld world = fleet(9);
    world.lose(world.running().subList(0, 6));
    world.settle();
    assertThat(world.stored().roster().daemons()).hasSize(3);
  }

  @Example
  void replacingAllDaemonsOneByOneLosesNone() {
    RosterWorld world = fleet(9);
    List<DaemonId> old = world.running();
    for (DaemonId daemon : old) {
      world.start();
      world.advance(3_000, true);
      world.stop(daemon);
      world.advance(3_000, true);
      assertThat(world.stored().roster().daemons()).hasSize(9);
    }
    assertThat(world.stored().roster().ids()).containsNoneIn(old);
  }

  private static RosterWorld fleet(int size) {
    RosterWorld world = new RosterWorld();
    world.start();
    world.advance(4_000, true);
    for (int count = 1; count < size; count++) {
      world.start();
    }
    world.settle();
    return world;
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(Arbitraries.of(Op.values()), Arbitraries.integers().between(0, 40))
        .as(Step::new)
        .list()
        .ofMaxSize(30);
  }
}
