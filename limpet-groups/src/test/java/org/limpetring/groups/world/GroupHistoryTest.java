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

/**
 * Property tests with random fault histories: the invariants hold at each step, and service
 * recovers afterwards.
 */
final class GroupHistoryTest {

  static final int RECOVERY_STEPS = 160;
  private static final int GROUPS_WANTED = 3;
  private static final Logger LOGGER = Logger.getLogger("org.limpetring");

  @BeforeContainer
  static void disableLogging() {
    LOGGER.setLevel(Level.OFF);
  }

  @Property(tries = 250, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
  void invariantsHoldUnderFaults(
      @ForAll("histories") List<Step> history,
      @ForAll boolean checksFencing,
      @ForAll boolean restartsHosts,
      @ForAll boolean wantsAll) {
    GroupSimulation simulation =
        new GroupSimulation(SimulationConfig.small(checksFencing, wantsAll ? 0 : GROUPS_WANTED));
    simulation.steps(40);
    history.forEach(step -> step.action().apply(simulation, step.choice()));
    SimulationAction.clearFaults(simulation, restartsHosts);
    simulation.steps(RECOVERY_STEPS);
    checkAllServe(simulation);
  }

  @Property(tries = 120, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
  void plannedChangesAbortNoRequests(
      @ForAll("plannedChanges") List<Step> history, @ForAll boolean wantsAll) {
    GroupSimulation simulation =
        new GroupSimulation(SimulationConfig.small(true, wantsAll ? 0 : GROUPS_WANTED));
    simulation.steps(40);
    history.forEach(step -> step.action().apply(simulation, step.choice()));
    checkNothingAborted(simulation);
  }

  @Provide
  Arbitrary<List<Step>> histories() {
    return steps(Arbitraries.of(SimulationAction.class));
  }

  @Provide
  Arbitrary<List<Step>> plannedChanges() {
    return steps(Arbitraries.of(SimulationAction.PLANNED_CHANGES));
  }

  private static Arbitrary<List<Step>> steps(Arbitrary<SimulationAction> actions) {
    Arbitrary<Integer> choices = Arbitraries.integers().between(0, 5_039);
    return Combinators.combine(actions, choices).as(Step::new).list().ofMaxSize(30);
  }

  static void checkNothingAborted(GroupSimulation simulation) {
    for (FakeEngine engine : simulation.engineList()) {
      assertWithMessage("requests aborted at %s", engine.host)
          .that(engine.abortedRequests)
          .isEqualTo(0);
    }
  }

  /**
   * Asserts full recovery: each domain serves as many groups as its running hosts allow, up to the
   * wanted number.
   */
  static void checkAllServe(GroupSimulation simulation) {
    int wanted = 0;
    for (FabricDomain domain : simulation.domains) {
      long up =
          simulation.hosts.stream()
              .filter(entry -> entry.fabricDomain().equals(domain))
              .filter(entry -> simulation.engine(entry.host()).isUp)
              .count();
      wanted += (int) up / simulation.size.groupSize();
    }
    List<PlannedGroup> planned = simulation.plannedGroups();
    if (simulation.size.groupsWanted() > 0) {
      wanted = Math.min(wanted, simulation.size.groupsWanted());
    }
    for (FakeDaemon daemon : simulation.daemons) {
      assertWithMessage("%s serves, planned %s", daemon.id, planned)
          .that(daemon.controller.serving())
          .hasSize(wanted);
    }
  }

  /** Action with the number that selects its target. */
  record Step(SimulationAction action, int choice) {}
}
