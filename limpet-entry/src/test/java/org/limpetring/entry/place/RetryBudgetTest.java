package org.limpetring.entry.place;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RetryBudgetTest {

  private static final double RATIO = 0.2;
  private static final double EXTRA = 136;
  private static final long WINDOW_MS = 10_000;

  /** Every request of every daemon fails and asks for repeats, under a load that comes in waves. */
  @Test
  void allDaemonsTogetherStayWithinTheBoundInEveryWindow() {
    int daemons = 9;
    Random random = new Random(7);
    RetryBudget[] budgets = new RetryBudget[daemons];
    for (int i = 0; i < daemons; i++) {
      budgets[i] = new RetryBudget(RATIO, EXTRA, WINDOW_MS);
    }
    ArrayDeque<Long> requests = new ArrayDeque<>();
    ArrayDeque<Long> repeats = new ArrayDeque<>();
    for (long nowMs = 0; nowMs < 60_000; nowMs += 5) {
      int arrivals = nowMs % 20_000 < 10_000 ? 2 : random.nextInt(2);
      for (int i = 0; i < arrivals; i++) {
        RetryBudget budget = budgets[random.nextInt(daemons)];
        budget.onRequest("s", nowMs);
        requests.add(nowMs);
        for (int again = 0; again < 3; again++) {
          if (budget.tryAcquire("s", daemons, nowMs)) {
            repeats.add(nowMs);
          }
        }
      }
      while (!requests.isEmpty() && requests.peekFirst() <= nowMs - 2 * WINDOW_MS) {
        requests.pollFirst();
      }
      while (!repeats.isEmpty() && repeats.peekFirst() <= nowMs - WINDOW_MS) {
        repeats.pollFirst();
      }
      assertThat((double) repeats.size()).isAtMost(RATIO * mostInAWindow(requests, nowMs) + EXTRA);
    }
    assertThat(repeats).isNotEmpty();
  }

  /** Requests of the window that ends now, of the one before, or of the one half before. */
  private static long mostInAWindow(ArrayDeque<Long> requests, long nowMs) {
    long most = 0;
    for (long endMs : new long[] {nowMs, nowMs - WINDOW_MS / 2, nowMs - WINDOW_MS}) {
      long count = requests.stream().filter(at -> at > endMs - WINDOW_MS && at <= endMs).count();
      most = Math.max(most, count);
    }
    return most;
  }

  @Test
  void servicesHaveBudgetsOfTheirOwn() {
    RetryBudget budget = new RetryBudget(0, 2, WINDOW_MS);
    assertThat(budget.tryAcquire("a", 1, 0)).isTrue();
    assertThat(budget.tryAcquire("a", 1, 0)).isFalse();
    assertThat(budget.tryAcquire("b", 1, 0)).isTrue();
  }
}
