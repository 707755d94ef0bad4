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
  void survivorsServeAllGroupsTheyCan(
      @ForAll @Size(max = 8) Set<@IntRange(max = 13) Integer> crashed, @ForAll boolean wantsAll) {
    GroupWorld world = new GroupWorld(WorldSize.small(false, wantsAll ? 0 : WANTED));
    world.steps(40);
    crashed.forEach(index -> world.engineList().get(index).crash(true));
    world.steps(GroupHistoryTest.CALM_STEPS);
    GroupHistoryTest.checkAllServe(world);
  }

  @Example
  void domainGoesOutAndReturnsWithoutCuttingARequest() {
    GroupWorld world = new GroupWorld(WorldSize.small(true, WANTED));
    world.steps(40);
    runRequests(world, 8);
    FailureDomain out = world.hosts.get(0).failureDomain();
    world.setConfig(WANTED, new ServiceMarks(Set.of(out), Set.of()));
    runRequests(world, 100);
    assertThat(world.serving()).hasSize(2);
    world.setConfig(WANTED, ServiceMarks.NONE);
    runRequests(world, 100);
    assertThat(world.serving()).hasSize(WANTED);
    assertThat(servingPlanned(world)).hasSize(WANTED);
    GroupHistoryTest.checkNothingCut(world);
  }

  /** Each serving group gets a request every second step; each takes eight steps. */
  private static void runRequests(GroupWorld world, int steps) {
    for (int step = 0; step < steps; step++) {
      for (PlannedGroup group : world.plannedGroups()) {
        FakeEngine entry = world.engine(group.entry());
        if (step % 2 == 0 && world.serving().contains(group.id())) {
          entry.running++;
        }
        if (entry.running > 4 || !world.serving().contains(group.id())) {
          entry.running = Math.max(0, entry.running - 1);
        }
      }
      world.step();
    }
  }

  private static List<PlannedGroup> servingPlanned(GroupWorld world) {
    return world.plannedGroups().stream()
        .filter(group -> group.state() == PlannedGroup.State.SERVING)
        .toList();
  }
}
