package org.limpetring.groups.world;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.limpetring.base.FailureDomain;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.tables.ServiceMarks;

/** Formation after losses that last, and around a failure domain that goes out and returns. */
final class FormationTest {

  private static final int WANTED = 3;
  private static final Logger LOGGER = Logger.getLogger("org.limpetring");

  @BeforeContainer
  static void silence() {
    LOGGER.setLevel(Level.OFF);
  }

  @Property(tries = 60, seed = "20261204")
  void survivorsServeMaximumGroups(
      @ForAll @Size(max = 8) Set<@IntRange(max = 13) Integer> crashed, @ForAll boolean wantsAll) {
    GroupSimulation simulation =
        new GroupSimulation(SimulationConfig.small(false, wantsAll ? 0 : WANTED));
    simulation.steps(40);
    crashed.forEach(index -> simulation.engineList().get(index).crash(true));
    simulation.steps(GroupHistoryTest.RECOVERY_STEPS);
    GroupHistoryTest.checkAllServe(simulation);
  }

  @Example
  void domainLeavesAndReturnsWithoutAbortingRequests() {
    GroupSimulation simulation = new GroupSimulation(SimulationConfig.small(true, WANTED));
    simulation.steps(40);
    runRequests(simulation, 8);
    FailureDomain out = simulation.hosts.get(0).failureDomain();
    simulation.setConfig(WANTED, new ServiceMarks(Set.of(out), Set.of()));
    runRequests(simulation, 100);
    assertThat(simulation.serving()).hasSize(2);
    simulation.setConfig(WANTED, ServiceMarks.NONE);
    runRequests(simulation, 100);
    assertThat(simulation.serving()).hasSize(WANTED);
    assertThat(servingPlanned(simulation)).hasSize(WANTED);
    GroupHistoryTest.checkNothingAborted(simulation);
  }

  /** Each serving group gets a request every second step; each takes eight steps. */
  private static void runRequests(GroupSimulation simulation, int steps) {
    for (int step = 0; step < steps; step++) {
      for (PlannedGroup group : simulation.plannedGroups()) {
        FakeEngine entry = simulation.engine(group.entry());
        if (step % 2 == 0 && simulation.serving().contains(group.id())) {
          entry.running++;
        }
        if (entry.running > 4 || !simulation.serving().contains(group.id())) {
          entry.running = Math.max(0, entry.running - 1);
        }
      }
      simulation.step();
    }
  }

  private static List<PlannedGroup> servingPlanned(GroupSimulation simulation) {
    return simulation.plannedGroups().stream()
        .filter(group -> group.state() == PlannedGroup.State.SERVING)
        .toList();
  }
}
