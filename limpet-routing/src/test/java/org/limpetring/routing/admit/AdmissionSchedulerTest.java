package org.limpetring.routing.admit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.limpetring.base.CallerId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;

final class AdmissionSchedulerTest {

  private static final AdmissionSettings SETTINGS = new AdmissionSettings(4, 20);
  private static final int STEPS = 300;
  private static final double TARGET_SHARE = 0.99;
  private static final int SEEDS = 3;

  @Property(tries = 3_000, seed = "4")
  void decidesEachRequestOnceWithinSlotsAndDeadlines(@ForAll long seed) {
    World world = new World(new SplittableRandom(seed));
    for (int step = 0; step < STEPS; step++) {
      world.step();
      assertThat(world.inUse).isAtMost(world.slots);
      assertThat(world.inUse).isAtLeast(0);
    }
    world.drain();
    assertWithMessage("undecided").that(world.undecided).isEmpty();
  }

  @Test
  void overloadPreservesGoodputAndSmallTeams() {
    for (int load : new int[] {2, 4}) {
      double sum = 0;
      for (int seed = 1; seed <= SEEDS; seed++) {
        sum +=
            OverloadRun.run(OverloadRun.Policy.ADMISSION, seed, OverloadRun.even(load))
                .goodputShare();
      }
      assertWithMessage("%s times capacity", load).that(sum / SEEDS).isAtLeast(TARGET_SHARE);
    }
    OverloadRun.Result large =
        OverloadRun.run(OverloadRun.Policy.ADMISSION, 1, OverloadRun.oneLarge());
    assertThat(large.smallTeamShare()).isAtLeast(TARGET_SHARE);
  }

  @Test
  void retriesAreLimitedToAFractionOfFirstTries() {
    RetryBudget budget = new RetryBudget(0.1, 1, 10, 0);
    int retries = 0;
    for (int request = 0; request < 10_000; request++) {
      budget.onFirstTry();
      retries += budget.tryAcquire(request) ? 1 : 0;
    }
    assertThat(retries).isAtMost(10 + 1_000 + 10);
    assertThat(retries).isAtLeast(1_000);
  }

  @Test
  void limitDropsWhenResponsesSlowDownAndRecovers() {
    AdaptiveLimit limit = new AdaptiveLimit(16);
    long nowMs = 0;
    for (int response = 0; response < 50; response++) {
      limit.observe(response < 10 ? 20 : 200, limit.get(), nowMs += 200);
    }
    assertThat(limit.get()).isLessThan(4);
    for (int response = 0; response < 500; response++) {
      limit.observe(20, limit.get(), nowMs += 20);
    }
    assertThat(limit.get()).isEqualTo(16);
  }

  /** One group with a few slots; the oracle tracks each ticket. */
  private static final class World implements SlotAllocator {

    final SplittableRandom random;
    final AdmissionScheduler scheduler = new AdmissionScheduler(SETTINGS, this);
    final Set<Long> undecided = new HashSet<>();
    final Map<CallerId, Long> lastAdmittedByCaller = new HashMap<>();
    final List<ServingGroup> admitted = new ArrayList<>();
    int slots;
    int inUse;
    private boolean isServing = true;
    private long nowMs;
    private long next;

    World(SplittableRandom random) {
      this.random = random;
      this.slots = 1 + random.nextInt(4);
    }

    void step() {
      switch (random.nextInt(10)) {
        case 0 -> nowMs += random.nextInt(40);
        case 1 -> isServing = random.nextInt(8) > 0;
        case 2, 3, 4 -> finishOne();
        case 5 -> recordDecisions(scheduler.admitQueued(nowMs += 1));
        default -> arrive();
      }
    }

    private void arrive() {
      CallerId caller = new CallerId("c" + random.nextInt(3));
      long deadlineMs = nowMs + random.nextInt(200);
      Ticket ticket = new Ticket(next++, caller, 1 + random.nextInt(3), deadlineMs, Set.of(), 0);
      undecided.add(ticket.number());
      recordDecisions(scheduler.arrive(ticket, nowMs));
    }

    private void finishOne() {
      if (!admitted.isEmpty()) {
        scheduler.observe(1 + random.nextInt(50));
        recordDecisions(scheduler.release(admitted.remove(0), nowMs));
      }
    }

    void drain() {
      isServing = true;
      nowMs += 1_000;
      recordDecisions(scheduler.admitQueued(nowMs));
    }

    private void recordDecisions(List<AdmissionEffect> effects) {
      for (AdmissionEffect effect : effects) {
        Ticket ticket = effect.ticket();
        assertWithMessage("decided twice").that(undecided.remove(ticket.number())).isTrue();
        if (effect instanceof AdmissionEffect.Admit admit) {
          assertThat(nowMs).isLessThan(ticket.deadlineMs());
          Long previous = lastAdmittedByCaller.put(ticket.caller(), ticket.number());
          assertWithMessage("order").that(previous == null || previous < ticket.number()).isTrue();
          admitted.add(admit.group());
        }
      }
    }

    @Override
    public Optional<ServingGroup> acquire(Ticket ticket) {
      if (!isServing || inUse >= slots) {
        return Optional.empty();
      }
      inUse++;
      return Optional.of(group());
    }

    @Override
    public boolean hasServingGroup(Set<GroupId> excluded) {
      return isServing;
    }

    @Override
    public void release(ServingGroup group) {
      inUse--;
    }

    @Override
    public int capacity() {
      return slots;
    }
  }

  private static ServingGroup group() {
    return new ServingGroup(
        new GroupId("g"),
        new PoolName("p"),
        1,
        List.of(new HostId("h")),
        "127.0.0.1:1",
        new FailureDomain("a"),
        "i",
        false,
        0);
  }
}
