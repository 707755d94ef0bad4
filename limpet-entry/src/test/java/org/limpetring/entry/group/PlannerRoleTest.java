package org.limpetring.entry.group;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetring.base.ManualClock;
import org.limpetring.entry.DecisionLog;
import org.limpetring.entry.ScriptedStore;
import org.limpetring.entry.TestData;
import org.limpetring.entry.model.GroupPlan;
import org.limpetring.entry.peer.PeerRegistry;
import org.limpetring.entry.peer.PeerState;

/** Who plans when planners die, are cut off from the store, or from some daemons. */
final class PlannerRoleTest {

  private final ManualClock clock = new ManualClock(100_000);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ScriptedStore store = new ScriptedStore();
  private final PeerRegistry peers = new PeerRegistry("d1");
  private final PlannerRole role =
      new PlannerRole(
          "d1",
          store,
          channel.eventLoop(),
          clock,
          new DecisionLog(new ByteArrayOutputStream(), clock),
          peers);

  @BeforeEach
  void knowNineOthers() {
    for (int i = 2; i <= 10; i++) {
      peers.onListed("d" + i, TestData.address(i));
    }
  }

  private void hearPlanner(long term, boolean isStoreUnreachable) {
    PeerState state =
        new PeerState(
            "d2",
            "a",
            1,
            term,
            true,
            isStoreUnreachable,
            false,
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            new PeerState.FleetLoad(10, List.of()));
    peers.onReceived(state, TestData.address(2), clock.nowMs());
    role.onPeerState(state, clock.nowMs());
  }

  /** All others tell all, as they do while they hear no planner. */
  private void hearOthers() {
    for (int i = 3; i <= 10; i++) {
      PeerState state =
          new PeerState(
              "d" + i, "a", 1, 1, false, false, false, List.of(), List.of(), List.of(), List.of(),
              null);
      peers.onReceived(state, TestData.address(i), clock.nowMs());
      role.onPeerState(state, clock.nowMs());
    }
  }

  private void pass(long ms) {
    for (long passed = 0; passed < ms; passed += 50) {
      clock.advance(50);
      channel.advanceTimeBy(50, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
      role.tick(clock.nowMs());
    }
  }

  /** Grown dol-dress quiet-1: the planner was cut off from the store for 8 s, heard by all. */
  @Test
  void aPlannerThatCannotReachTheStoreIsReplaced() {
    store.writePlan(new GroupPlan("d2", 3, 7, List.of()));
    for (int i = 0; i < 10; i++) {
      hearPlanner(3, false);
      pass(200);
    }
    assertThat(role.isPlanner()).isFalse();
    pass(3_000);
    hearPlanner(3, true);
    pass(2_000);
    assertThat(role.isPlanner()).isTrue();
  }

  /** Small twin of kowhai-press-grown: two daemons took the role from each other eight times. */
  @Test
  void aDaemonThatNeverReadThePlanLeavesItToOneThatHasJustTakenOver() {
    store.writePlan(new GroupPlan("d2", 1, 7, List.of()));
    hearPlanner(1, false);
    pass(300);
    hearOthers();
    pass(300);
    hearOthers();
    pass(250);
    store.writePlan(new GroupPlan("d3", 2, 7, List.of()));
    pass(300);
    assertThat(store.plan().planner()).isEqualTo("d3");
    assertThat(role.isPlanner()).isFalse();
  }

  @Test
  void theFirstInLineTakesOverFromAPlannerThatFellSilent() {
    store.writePlan(new GroupPlan("d2", 1, 7, List.of()));
    hearPlanner(1, false);
    pass(600);
    hearOthers();
    pass(400);
    assertThat(role.isPlanner()).isTrue();
  }

  /** One that is cut off from all others must not take the role from a planner that works. */
  @Test
  void aDaemonThatHearsNobodyWaitsLong() {
    store.writePlan(new GroupPlan("d2", 3, 7, List.of()));
    hearPlanner(3, false);
    pass(5_500);
    assertThat(role.isPlanner()).isFalse();
    pass(2_000);
    assertThat(role.isPlanner()).isTrue();
  }
}
