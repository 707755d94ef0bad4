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

/**
 * Tests group formation after permanent host losses, and while a failure domain is taken out of
 * service and returned.
 */
final class FormationTest {

  private static final int GROUPS_WANTED = 3;
  private static final Logger LOGGER = Logger.getLogger("org.limpetring");

  @BeforeContainer
  static void disableLogging() {
    LOGGER.setLevel(Level.OFF);
  }

  @Property(tries = 60, seed = "20261204")
  void survivorsServeMaximumGroups(
      @ForAll @Size(max = 8) Set<@IntRange(max = 13) Integer> crashed, @ForAll boolean wantsAll) {
    GroupSimulation simulation =
        new GroupSimulation(SimulationConfig.small(false, wantsAll ? 0 : GROUPS_WANTED));
    simulation.steps(40);
    crashed.forEach(index -> simulation.engineList().get(index).crash(true));
    simulation.steps(GroupHistoryTest.RECOVERY_STEPS);
    GroupHistoryTest.checkAllServe(simulation);
  }

  @Example
  void domainLeavesAndReturnsWithoutAbortingRequests() {
    GroupSimulation simulation = new GroupSimulation(SimulationConfig.small(true, GROUPS_WANTED));
    simulation.steps(40);
    runRequests(simulation, 8);
    FailureDomain out = simulation.hosts.get(0).failureDomain();
    simulation.setConfig(GROUPS_WANTED, new ServiceMarks(Set.of(out), Set.of()));
    runRequests(simulation, 100);
    assertThat(simulation.serving()).hasSize(2);
    simulation.setConfig(GROUPS_WANTED, ServiceMarks.NONE);
    runRequests(simulation, 100);
    assertThat(simulation.serving()).hasSize(GROUPS_WANTED);
    assertThat(servingPlanned(simulation)).hasSize(GROUPS_WANTED);
    GroupHistoryTest.checkNothingAborted(simulation);
  }

  /**
   * Starts a request on each serving group every second step; finishes requests once more than four
   * are running or the group no longer serves.
   */
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
