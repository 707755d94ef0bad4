package org.limpetring.entry.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RetryBudgetTest {

  private static final double RATIO = 0.2;
  private static final double ALLOWANCE = 136;
  private static final long WINDOW_MS = 10_000;

  /** Every request of every daemon fails and is retried, under load that comes in waves. */
  @Test
  void boundsRetriesOfAllDaemonsInEveryWindow() {
    int daemons = 9;
    Random random = new Random(7);
    RetryBudget[] budgets = new RetryBudget[daemons];
    for (int i = 0; i < daemons; i++) {
      budgets[i] = new RetryBudget(RATIO, ALLOWANCE, WINDOW_MS);
    }
    ArrayDeque<Long> requests = new ArrayDeque<>();
    ArrayDeque<Long> retries = new ArrayDeque<>();
    for (long nowMs = 0; nowMs < 60_000; nowMs += 5) {
      int arrivals = nowMs % 20_000 < 10_000 ? 2 : random.nextInt(2);
      for (int i = 0; i < arrivals; i++) {
        RetryBudget budget = budgets[random.nextInt(daemons)];
        budget.onRequest("s", nowMs);
        requests.add(nowMs);
        for (int retry = 0; retry < 3; retry++) {
          if (budget.tryAcquire("s", daemons, nowMs)) {
            retries.add(nowMs);
          }
        }
      }
      while (!requests.isEmpty() && requests.peekFirst() <= nowMs - 2 * WINDOW_MS) {
        requests.pollFirst();
      }
      while (!retries.isEmpty() && retries.peekFirst() <= nowMs - WINDOW_MS) {
        retries.pollFirst();
      }
      assertThat((double) retries.size())
          .isAtMost(RATIO * maxInWindow(requests, nowMs) + ALLOWANCE);
    }
    assertThat(retries).isNotEmpty();
  }

  /** Returns the largest count in the windows that end now, half a window ago and a window ago. */
  private static long maxInWindow(ArrayDeque<Long> requests, long nowMs) {
    long maxCount = 0;
    for (long endMs : new long[] {nowMs, nowMs - WINDOW_MS / 2, nowMs - WINDOW_MS}) {
      long count = requests.stream().filter(at -> at > endMs - WINDOW_MS && at <= endMs).count();
      maxCount = Math.max(maxCount, count);
    }
    return maxCount;
  }

  @Test
  void keepsSeparateBudgetPerService() {
    RetryBudget budget = new RetryBudget(0, 2, WINDOW_MS);
    assertThat(budget.tryAcquire("a", 1, 0)).isTrue();
    assertThat(budget.tryAcquire("a", 1, 0)).isFalse();
    assertThat(budget.tryAcquire("b", 1, 0)).isTrue();
  }
}
