package org.limpetring.fleet.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetring.base.DaemonId;
import org.limpetring.base.ResultCode;
import org.limpetring.fleet.node.FleetWorld.Node;

/** Whole daemons under the partitions and losses of the design note. */
final class FleetWorldTest {

  private static final int IN_FORCE_9_MS = 3_000;
  private static final int STALE_MS = 3_000;

  @Test
  void aChangeIsInForceEverywhereWithinTheTarget() {
    FleetWorld world = fleet(9);
    for (int number = 2; number < 12; number++) {
      world.apply(number);
      assertThat(world.awaitInForce(number, 10_000)).isAtMost(IN_FORCE_9_MS);
      world.advance(2_000);
    }
  }

  @Test
  void aDaemonCutOffFromAllTurnsStaleAndReturns() {
    FleetWorld world = fleet(9);
    DaemonId alone = world.list().get(4).entry.id();
    world.isCut = pair -> pair.contains(alone);
    world.isCutFromPlatform = alone::equals;
    world.advance(STALE_MS + 100);
    for (Node node : world.list()) {
      boolean isAlone = node.entry.id().equals(alone);
      Optional<ResultCode> refusal =
          isAlone ? Optional.of(ResultCode.STALE_DAEMON) : Optional.empty();
      assertThat(node.view().refusal(world.nowMs())).isEqualTo(refusal);
    }
  }

  @Test
  void anOutageOfThePlatformStopsNoDaemon() {
    FleetWorld world = fleet(27);
    world.platform.setDown(true);
    for (int step = 0; step < 600; step++) {
      world.advance(100);
      for (Node node : world.list()) {
        assertWithMessage("%s after %s ms", node.entry.id(), step * 100)
            .that(node.view().refusal(world.nowMs()))
            .isEmpty();
      }
    }
  }

  @Test
  void aMinorityWithoutPlatformRefusesWhileTheRestServes() {
    FleetWorld world = fleet(9);
    List<DaemonId> minority = world.list().subList(0, 3).stream().map(n -> n.entry.id()).toList();
    world.isCut = pair -> minority.contains(pair.get(0)) != minority.contains(pair.get(1));
    world.isCutFromPlatform = minority::contains;
    world.advance(STALE_MS + 100);
    for (Node node : world.list()) {
      assertThat(node.view().isReady(world.nowMs())).isEqualTo(!minority.contains(node.entry.id()));
    }
  }

  @Test
  void theLossOfAFailureDomainIsForgottenAndChangesGoOn() {
    FleetWorld world = fleet(9);
    List<Node> lost = world.list().stream().filter(n -> domain(n).equals("domain0")).toList();
    lost.forEach(world::kill);
    world.apply(2);
    assertThat(world.awaitInForce(2, 20_000)).isAtMost(10_000);
    world.advance(20_000);
    for (Node node : world.list()) {
      assertThat(node.view().roster().daemons()).hasSize(6);
    }
  }

  @Test
  void aPausedDaemonIsStaleAtOnceAndLearnsThatItWasEvicted() {
    FleetWorld world = fleet(9);
    Node paused = world.list().get(2);
    paused.isPaused = true;
    FleetView last = paused.view();
    world.advance(30_000);
    assertThat(last.isReady(world.nowMs())).isFalse();
    paused.isPaused = false;
    world.advance(5_000);
    assertThat(paused.evictedAs).isEqualTo(paused.entry.id());
  }

  @Test
  void aRollingReplacementKeepsAllOthersReady() {
    FleetWorld world = fleet(9);
    for (Node old : world.list()) {
      world.start();
      world.advance(4_000);
      old.machine.leave(world.nowMs());
      world.advance(4_000);
      assertThat(old.machine.hasLeft()).isTrue();
      world.kill(old);
      for (Node node : world.list()) {
        assertThat(node.view().refusal(world.nowMs())).isEmpty();
      }
    }
    assertThat(world.list()).hasSize(9);
  }

  private static String domain(Node node) {
    return node.entry.failureDomain().value();
  }

  static FleetWorld fleet(int size) {
    FleetWorld world = new FleetWorld(FleetWorld.DOMAINS, size);
    world.apply(1);
    world.startAll(size);
    world.advance(20_000);
    for (Node node : world.list()) {
      assertThat(node.view().roster().daemons()).hasSize(size);
      assertThat(node.view().refusal(world.nowMs())).isEmpty();
    }
    return world;
  }
}
