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

/** Roster changes under races, lost responses, outages, mass loss and replacement. */
final class RosterProperties {

  // One write evicts fewer than half of the roster, so one of two daemons can never evict the
  // other.
  private static final int MIN_REMAINING = 3;
  private static final int MAX_WRITES_PER_DOMAIN = 4;

  private enum Op {
    START,
    STOP,
    CRASH,
    LOSE_RESPONSE,
    PLATFORM_DOWN,
    PLATFORM_UP,
    ADVANCE,
    ADVANCE_WITHOUT_GOSSIP
  }

  private record Step(Op op, int number) {

    void run(RosterSimulation simulation) {
      List<DaemonId> running = simulation.running();
      DaemonId chosen = running.get(number % running.size());
      switch (op) {
        case START -> simulation.start();
        case STOP -> {
          if (simulation.remainingCount() > MIN_REMAINING) {
            simulation.stop(chosen);
          }
        }
        case CRASH -> {
          if (simulation.remainingCount() > MIN_REMAINING) {
            simulation.crash(List.of(chosen));
          }
        }
        case LOSE_RESPONSE -> simulation.faults().loseAnswers(1);
        case PLATFORM_DOWN -> simulation.faults().setDown(true);
        case PLATFORM_UP -> simulation.faults().setDown(false);
        case ADVANCE -> simulation.advance(number * 100, true);
        case ADVANCE_WITHOUT_GOSSIP -> simulation.advance(number * 100, false);
      }
    }
  }

  @Property(tries = 200, seed = "20261204")
  void rosterListsExactlyTheRunningDaemons(@ForAll("steps") List<Step> steps) {
    RosterSimulation simulation = fleet(4);
    steps.forEach(step -> step.run(simulation));
    simulation.settle();
  }

  @Example
  void failureDomainLossTakesFewWrites() {
    RosterSimulation simulation = fleet(330);
    int before = simulation.writes();
    simulation.crash(simulation.running().subList(0, 110));
    simulation.settle();
    assertThat(simulation.writes() - before).isAtMost(MAX_WRITES_PER_DOMAIN);
  }

  @Example
  void majorityIsNeverEvictedInOneWrite() {
    RosterSimulation simulation = fleet(9);
    simulation.crash(simulation.running().subList(0, 6));
    simulation.settle();
    assertThat(simulation.stored().roster().daemons()).hasSize(3);
  }

  @Example
  void rollingReplacementKeepsRosterSize() {
    RosterSimulation simulation = fleet(9);
    List<DaemonId> old = simulation.running();
    for (DaemonId daemon : old) {
      simulation.start();
      simulation.advance(3_000, true);
      simulation.stop(daemon);
      simulation.advance(3_000, true);
      assertThat(simulation.stored().roster().daemons()).hasSize(9);
    }
    assertThat(simulation.stored().roster().ids()).containsNoneIn(old);
  }

  private static RosterSimulation fleet(int size) {
    RosterSimulation simulation = new RosterSimulation();
    simulation.start();
    simulation.advance(4_000, true);
    for (int count = 1; count < size; count++) {
      simulation.start();
    }
    simulation.settle();
    return simulation;
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(Arbitraries.of(Op.values()), Arbitraries.integers().between(0, 40))
        .as(Step::new)
        .list()
        .ofMaxSize(30);
  }
}
