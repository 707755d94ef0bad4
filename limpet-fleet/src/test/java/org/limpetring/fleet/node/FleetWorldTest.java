package org.limpetring.fleet.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetring.base.DaemonId;
import org.limpetring.base.ResultCode;
import org.limpetring.fleet.node.FleetSimulation.Node;

/** Complete daemons under the partitions and losses listed in the design note. */
final class FleetWorldTest {

  private static final int MAX_IN_FORCE_MS = 3_000;
  private static final int STALE_MS = 3_000;

  @Test
  void changeIsInForceOnAllDaemonsWithinTarget() {
    FleetSimulation simulation = fleet(9);
    for (int number = 2; number < 12; number++) {
      simulation.apply(number);
      assertThat(simulation.awaitInForce(number, 10_000)).isAtMost(MAX_IN_FORCE_MS);
      simulation.advance(2_000);
    }
  }

  @Test
  void isolatedDaemonBecomesStale() {
    FleetSimulation simulation = fleet(9);
    DaemonId isolated = simulation.list().get(4).entry.id();
    simulation.isLinkCut = link -> link.contains(isolated);
    simulation.isIsolatedFromPlatform = isolated::equals;
    simulation.advance(STALE_MS + 100);
    for (Node node : simulation.list()) {
      boolean isIsolated = node.entry.id().equals(isolated);
      Optional<ResultCode> refusal =
          isIsolated ? Optional.of(ResultCode.STALE_DAEMON) : Optional.empty();
      assertThat(node.view().refusal(simulation.nowMs())).isEqualTo(refusal);
    }
  }

  @Test
  void platformOutageLeavesAllDaemonsReady() {
    FleetSimulation simulation = fleet(27);
    simulation.platform.setDown(true);
    for (int step = 0; step < 600; step++) {
      simulation.advance(100);
      for (Node node : simulation.list()) {
        assertWithMessage("%s after %s ms", node.entry.id(), step * 100)
            .that(node.view().refusal(simulation.nowMs()))
            .isEmpty();
      }
    }
  }

  @Test
  void isolatedMinorityRefusesWorkWhileMajorityServes() {
    FleetSimulation simulation = fleet(9);
    List<DaemonId> minority =
        simulation.list().subList(0, 3).stream().map(n -> n.entry.id()).toList();
    simulation.isLinkCut = link -> minority.contains(link.get(0)) != minority.contains(link.get(1));
    simulation.isIsolatedFromPlatform = minority::contains;
    simulation.advance(STALE_MS + 100);
    for (Node node : simulation.list()) {
      assertThat(node.view().isReady(simulation.nowMs()))
          .isEqualTo(!minority.contains(node.entry.id()));
    }
  }

  @Test
  void lostFailureDomainIsEvictedAndChangesStillApply() {
    FleetSimulation simulation = fleet(9);
    List<Node> lost = simulation.list().stream().filter(n -> domain(n).equals("domain0")).toList();
    lost.forEach(simulation::kill);
    simulation.apply(2);
    assertThat(simulation.awaitInForce(2, 20_000)).isAtMost(10_000);
    simulation.advance(20_000);
    for (Node node : simulation.list()) {
      assertThat(node.view().roster().daemons()).hasSize(6);
    }
  }

  @Test
  void pausedDaemonIsStaleAndLearnsOfItsEviction() {
    FleetSimulation simulation = fleet(9);
    Node paused = simulation.list().get(2);
    paused.isPaused = true;
    FleetView last = paused.view();
    simulation.advance(30_000);
    assertThat(last.isReady(simulation.nowMs())).isFalse();
    paused.isPaused = false;
    simulation.advance(5_000);
    assertThat(paused.evictedAs).isEqualTo(paused.entry.id());
  }

  @Test
  void rollingReplacementKeepsOtherDaemonsReady() {
    FleetSimulation simulation = fleet(9);
    for (Node old : simulation.list()) {
      simulation.start();
      simulation.advance(4_000);
      old.machine.leave(simulation.nowMs());
      simulation.advance(4_000);
      assertThat(old.machine.hasLeft()).isTrue();
      simulation.kill(old);
      for (Node node : simulation.list()) {
        assertThat(node.view().refusal(simulation.nowMs())).isEmpty();
      }
    }
    assertThat(simulation.list()).hasSize(9);
  }

  private static String domain(Node node) {
    return node.entry.failureDomain().value();
  }

  static FleetSimulation fleet(int size) {
    FleetSimulation simulation = new FleetSimulation(FleetSimulation.DOMAINS, size);
    simulation.apply(1);
    simulation.startAll(size);
    simulation.advance(20_000);
    for (Node node : simulation.list()) {
      assertThat(node.view().roster().daemons()).hasSize(size);
      assertThat(node.view().refusal(simulation.nowMs())).isEmpty();
    }
    return simulation;
  }
}
