package org.limpetring.routing.cold;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.Roster;
import org.limpetring.groups.ServingGroup;

final class ColdGateTest {

  private static final ColdSettings SETTINGS = new ColdSettings(50, 5, 20, 3);
  private static final int DAEMONS = 5;
  private static final int STEPS = 300;

  @Property(tries = 3_000, seed = "3")
  void concurrentRequestsNeverExceedTheBudget(@ForAll long seed) {
    World world = new World(new SplittableRandom(seed));
    for (int step = 0; step < STEPS; step++) {
      world.step();
      assertWithMessage("requests at the group").that(world.running()).isAtMost(world.budget);
    }
  }

  @Test
  void successesRaiseTheLimitToTheWholeBudget() {
    int maxRunning = 0;
    for (int seed = 0; seed < 100; seed++) {
      World world = new World(new SplittableRandom(seed));
      world.budget = 4;
      for (int step = 0; step < STEPS; step++) {
        world.step();
        maxRunning = Math.max(maxRunning, world.running());
      }
    }
    assertThat(maxRunning).isEqualTo(4);
  }

  @Test
  void markIsMergedAndClearedBySuccessesOrANewIncarnation() {
    ColdGroupDetector here = new ColdGroupDetector(SETTINGS);
    ColdGroupDetector there = new ColdGroupDetector(SETTINGS);
    ServingGroup warm = group("i1", false);
    ColdNotice cold = here.markCold(warm).orElseThrow();
    assertThat(here.markCold(warm)).isEmpty();
    assertThat(there.merge(cold)).isTrue();
    assertThat(there.isCold(warm)).isTrue();
    assertThat(there.isCold(group("i2", false))).isFalse();
    assertThat(there.recordSuccess(warm)).isEmpty();
    assertThat(there.recordSuccess(warm)).isEmpty();
    ColdNotice warmNotice = there.recordSuccess(warm).orElseThrow();
    assertThat(there.isCold(warm)).isFalse();
    assertThat(here.merge(warmNotice)).isTrue();
    assertThat(here.merge(cold)).isFalse();
    assertThat(here.isCold(warm)).isFalse();
  }

  /**
   * Simulated fleet whose daemons receive rosters at different times; a request may outlive its
   * daemon.
   */
  private static final class World {

    private record Run(int daemon, ColdPermit permit, long endMs) {}

    final SplittableRandom random;
    int budget;
    private final List<ColdGate> gates = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private final long[] stopMs = new long[DAEMONS];
    private final long[] knownEpoch = new long[DAEMONS];
    private Roster roster = Roster.EMPTY;
    private long activeFromMs;
    private long nowMs = 1_000;
    private int incarnation = 1;

    World(SplittableRandom random) {
      this.random = random;
      this.budget = 1 + random.nextInt(6);
      for (int daemon = 0; daemon < DAEMONS; daemon++) {
        gates.add(new ColdGate(new DaemonId("d" + daemon), SETTINGS));
      }
      changeRoster();
    }

    int running() {
      return (int) runs.stream().filter(run -> run.endMs() > nowMs).count();
    }

    void step() {
      switch (random.nextInt(20)) {
        case 0 -> changeRoster();
        case 1, 2 -> receiveRoster(random.nextInt(DAEMONS));
        case 3 -> restartDaemon(random.nextInt(DAEMONS));
        case 4 -> incarnation += random.nextInt(4) == 0 ? 1 : 0;
        case 5, 6 -> nowMs += random.nextInt(30);
        case 7, 8, 9 -> end();
        default -> {
          nowMs += random.nextInt(2);
          acquire(random.nextInt(DAEMONS));
        }
      }
    }

    /**
     * Starts a new epoch; daemons that have not received it lose freshness before others act under
     * it.
     */
    private void changeRoster() {
      if (random.nextInt(2) == 0 && roster.epoch() > 0) {
        return;
      }
      int absent = random.nextInt(DAEMONS);
      List<DaemonEntry> members =
          IntStream.range(0, DAEMONS)
              .filter(daemon -> daemon != absent)
              .mapToObj(ColdGateTest::entry)
              .toList();
      roster = new Roster(roster.epoch() + 1, members);
      activeFromMs = nowMs + random.nextInt(10);
      // A daemon stops acting under its known epoch before any daemon acts under a later one.
      for (int daemon = 0; daemon < DAEMONS; daemon++) {
        stopMs[daemon] = Math.min(stopMs[daemon], activeFromMs);
      }
    }

    private void receiveRoster(int daemon) {
      if (knownEpoch[daemon] < roster.epoch()) {
        knownEpoch[daemon] = roster.epoch();
        stopMs[daemon] = Long.MAX_VALUE;
        gates.get(daemon).onRoster(roster, Math.max(nowMs, activeFromMs));
      }
    }

    private void restartDaemon(int daemon) {
      gates.set(daemon, new ColdGate(new DaemonId("d" + daemon), SETTINGS));
      knownEpoch[daemon] = 0;
    }

    private void acquire(int daemon) {
      boolean isRosterFresh = nowMs < stopMs[daemon];
      long requestedMs = 1 + random.nextInt(80);
      ColdPermitDecision decision =
          gates
              .get(daemon)
              .tryAcquire(
                  group("i" + incarnation, true), budget, requestedMs, isRosterFresh, nowMs);
      if (decision instanceof ColdPermitDecision.Granted granted) {
        runs.add(new Run(daemon, granted.permit(), nowMs + granted.permit().validMs()));
      }
    }

    private void end() {
      if (runs.isEmpty()) {
        return;
      }
      Run run = runs.remove(random.nextInt(runs.size()));
      gates.get(run.daemon()).release(run.permit(), random.nextInt(5) > 0);
    }
  }

  private static DaemonEntry entry(int daemon) {
    return new DaemonEntry(new DaemonId("d" + daemon), "127.0.0.1", 1, new FailureDomain("a"));
  }

  private static ServingGroup group(String incarnation, boolean cold) {
    return new ServingGroup(
        new GroupId("g"),
        new PoolName("p"),
        1,
        List.of(new HostId("h")),
        "127.0.0.1:1",
        new FailureDomain("a"),
        incarnation,
        cold,
        0);
  }
}
