package org.limpetring.groups.world;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.limpetring.base.FabricDomain;
import org.limpetring.groups.PlannedGroup;

/** Random histories of faults; the promises hold at each step and service returns afterwards. */
final class GroupHistoryTest {

  static final int CALM_STEPS = 160;
  private static final int WANTED = 3;
  private static final Logger LOGGER = Logger.getLogger("org.limpetring");

  @BeforeContainer
  static void silence() {
    LOGGER.setLevel(Level.OFF);
  }

  @Property(tries = 250, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
  void promisesHoldWhateverFails(
      @ForAll("histories") List<Step> history,
      @ForAll boolean checksFencing,
      @ForAll boolean startsHosts,
      @ForAll boolean wantsAll) {
    GroupWorld world = new GroupWorld(WorldSize.small(checksFencing, wantsAll ? 0 : WANTED));
    world.steps(40);
    history.forEach(step -> step.action().apply(world, step.choice()));
    WorldActions.calm(world, startsHosts);
    world.steps(CALM_STEPS);
    checkAllServe(world);
  }

  @Property(tries = 120, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
  void plannedMovesCutNothing(
      @ForAll("plannedMoves") List<Step> history, @ForAll boolean wantsAll) {
    GroupWorld world = new GroupWorld(WorldSize.small(true, wantsAll ? 0 : WANTED));
    world.steps(40);
    history.forEach(step -> step.action().apply(world, step.choice()));
    checkNothingCut(world);
  }

  @Provide
  Arbitrary<List<Step>> histories() {
    return steps(Arbitraries.of(WorldActions.class));
  }

  @Provide
  Arbitrary<List<Step>> plannedMoves() {
    return steps(Arbitraries.of(WorldActions.PLANNED_MOVES));
  }

  private static Arbitrary<List<Step>> steps(Arbitrary<WorldActions> actions) {
    Arbitrary<Integer> choices = Arbitraries.integers().between(0, 5_039);
    return Combinators.combine(actions, choices).as(Step::new).list().ofMaxSize(30);
  }

  static void checkNothingCut(GroupWorld world) {
    for (FakeEngine engine : world.engineList()) {
      assertWithMessage("requests cut at %s", engine.host).that(engine.cut).isEqualTo(0);
    }
  }

  /** Nothing fails any more, so each domain serves as many groups as it has running hosts for. */
  static void checkAllServe(GroupWorld world) {
    int wanted = 0;
    for (FabricDomain domain : world.domains) {
      long up =
          world.hosts.stream()
              .filter(entry -> entry.fabricDomain().equals(domain))
              .filter(entry -> world.engine(entry.host()).isUp)
              .count();
      wanted += (int) up / world.size.groupSize();
    }
    List<PlannedGroup> planned = world.plannedGroups();
    if (world.size.groupsWanted() > 0) {
      wanted = Math.min(wanted, world.size.groupsWanted());
    }
    for (FakeDaemon daemon : world.daemons) {
      assertWithMessage("%s serves, planned %s", daemon.id, planned)
          .that(daemon.controller.serving())
          .hasSize(wanted);
    }
  }

  /** One thing that happens, and to whom. */
  record Step(WorldActions action, int choice) {}
}
