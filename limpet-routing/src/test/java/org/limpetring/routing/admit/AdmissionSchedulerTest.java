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
  void decidesEachRequestOnceWithinPlacesAndDeadlines(@ForAll long seed) {
    World world = new World(new SplittableRandom(seed));
    for (int step = 0; step < STEPS; step++) {
      world.step();
      assertThat(world.inUse).isAtMost(world.places);
      assertThat(world.inUse).isAtLeast(0);
    }
    world.drain();
    assertWithMessage("undecided").that(world.undecided).isEmpty();
  }

  @Test
  void overloadKeepsGoodputAndSmallTeams() {
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
  void retriesStayAShareOfFirstTries() {
    RetryBudget budget = new RetryBudget(0.1, 1, 10, 0);
    int retries = 0;
    for (int request = 0; request < 10_000; request++) {
      budget.onFirstTry();
      retries += budget.tryTake(request) ? 1 : 0;
    }
    assertThat(retries).isAtMost(10 + 1_000 + 10);
    assertThat(retries).isAtLeast(1_000);
  }

  @Test
  void aLimitFallsWhenAnswersSlowDownAndRecovers() {
    AdaptiveLimit limit = new AdaptiveLimit(16);
    long nowMs = 0;
    for (int answer = 0; answer < 50; answer++) {
      limit.observe(answer < 10 ? 20 : 200, limit.get(), nowMs += 200);
    }
    assertThat(limit.get()).isLessThan(4);
    for (int answer = 0; answer < 500; answer++) {
      limit.observe(20, limit.get(), nowMs += 20);
    }
    assertThat(limit.get()).isEqualTo(16);
  }

  /** One group with a few places; the oracle follows each ticket. */
  private static final class World implements SlotAllocator {

    final SplittableRandom random;
    final AdmissionScheduler core = new AdmissionScheduler(SETTINGS, this);
    final Set<Long> undecided = new HashSet<>();
    final Map<CallerId, Long> lastAdmitted = new HashMap<>();
    final List<ServingGroup> admitted = new ArrayList<>();
    int places;
    int inUse;
    private boolean isServing = true;
    private long nowMs;
    private long next;

    World(SplittableRandom random) {
      this.random = random;
      this.places = 1 + random.nextInt(4);
    }

    void step() {
      switch (random.nextInt(10)) {
        case 0 -> nowMs += random.nextInt(40);
        case 1 -> isServing = random.nextInt(8) > 0;
        case 2, 3, 4 -> finishOne();
        case 5 -> note(core.pump(nowMs += 1));
        default -> arrive();
      }
    }

    private void arrive() {
      CallerId caller = new CallerId("c" + random.nextInt(3));
      long deadlineMs = nowMs + random.nextInt(200);
      Ticket ticket = new Ticket(next++, caller, 1 + random.nextInt(3), deadlineMs, Set.of(), 0);
      undecided.add(ticket.number());
      note(core.arrive(ticket, nowMs));
    }

    private void finishOne() {
      if (!admitted.isEmpty()) {
        core.observe(1 + random.nextInt(50));
        note(core.release(admitted.remove(0), nowMs));
      }
    }

    void drain() {
      isServing = true;
      nowMs += 1_000;
      note(core.pump(nowMs));
    }

    private void note(List<AdmissionEffect> effects) {
      for (AdmissionEffect effect : effects) {
        Ticket ticket = effect.ticket();
        assertWithMessage("decided twice").that(undecided.remove(ticket.number())).isTrue();
        if (effect instanceof AdmissionEffect.Admit admit) {
          assertThat(nowMs).isLessThan(ticket.deadlineMs());
          Long last = lastAdmitted.put(ticket.caller(), ticket.number());
          assertWithMessage("order").that(last == null || last < ticket.number()).isTrue();
          admitted.add(admit.group());
        }
      }
    }

    @Override
    public Optional<ServingGroup> occupy(Ticket ticket) {
      if (!isServing || inUse >= places) {
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
    public void vacate(ServingGroup group) {
      inUse--;
    }

    @Override
    public int capacity() {
      return places;
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
