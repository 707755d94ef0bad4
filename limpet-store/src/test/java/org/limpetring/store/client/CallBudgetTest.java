package org.limpetring.store.client;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.limpetring.base.ManualClock;
import org.limpetring.store.ReadResult;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.store.memory.MemoryObjectStore;

class CallBudgetTest {

  @Property(tries = 500, seed = "52")
  void noWindowExceedsBurstAndRate(
      @ForAll @IntRange(min = 1, max = 20) int burst,
      @ForAll @IntRange(min = 1, max = 500) int perSecond,
      @ForAll @Size(max = 60) List<@IntRange(max = 300) Integer> gapsMs) {
    CallBudget budget = new CallBudget(burst, perSecond, 0);
    List<Long> startsMs = new ArrayList<>();
    long nowMs = 0;
    for (int gapMs : gapsMs) {
      nowMs += gapMs;
      long waitMs = budget.reserve(nowMs, 1_000);
      if (waitMs != CallBudget.REFUSED) {
        assertThat(waitMs).isAtMost(1_000);
        startsMs.add(nowMs + waitMs);
      }
    }
    for (int from = 0; from < startsMs.size(); from++) {
      for (int to = from; to < startsMs.size(); to++) {
        long windowMs = startsMs.get(to) - startsMs.get(from);
        assertWithMessage("starts %s", startsMs)
            .that((to - from + 1 - burst) * 1_000L)
            .isAtMost(windowMs * perSecond + 999);
      }
    }
  }

  @Test
  void callsOverBudgetWaitOrAreRejected() {
    ManualClock clock = new ManualClock(0);
    FaultyObjectStore countingStore = new FaultyObjectStore(new MemoryObjectStore());
    BudgetedObjectStore store =
        new BudgetedObjectStore(
            countingStore, new CallBudget(2, 10, 0), clock, clock::advance, 100);
    for (int call = 0; call < 5; call++) {
      assertThat(store.get("k")).isInstanceOf(ReadResult.Missing.class);
    }
    assertThat(clock.nowMs()).isEqualTo(300);
    BudgetedObjectStore storeWithShortWait =
        new BudgetedObjectStore(
            countingStore, new CallBudget(1, 10, 300), clock, clock::advance, 99);
    assertThat(storeWithShortWait.get("k")).isInstanceOf(ReadResult.Missing.class);
    assertThat(storeWithShortWait.get("k")).isInstanceOf(ReadResult.Unavailable.class);
    assertThat(countingStore.calls()).isEqualTo(6);
  }

  @Property(tries = 200, seed = "53")
  void backoffStaysWithinItsCeilings(@ForAll long seed) {
    Backoff backoff = new Backoff(100, 1_500, seed);
    for (long ceilingMs : List.of(100L, 200L, 400L, 800L, 1_500L, 1_500L)) {
      assertThat(backoff.nextMs())
          .isIn(com.google.common.collect.Range.closed(ceilingMs / 2, ceilingMs));
    }
    backoff.reset();
    assertThat(backoff.nextMs()).isAtMost(100);
  }
}
