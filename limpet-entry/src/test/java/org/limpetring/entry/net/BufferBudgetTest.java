package org.limpetring.entry.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class BufferBudgetTest {

  /** A hundred bodies without end, each in blocks of 64 KiB, against a budget of 4 MiB. */
  @Test
  void bodiesWithoutEndNeverExceedTheLimit() {
    BufferBudget budget = new BufferBudget(4_194_304);
    int rejected = 0;
    int[] buffered = new int[100];
    for (int block = 0; block < 1_000; block++) {
      int body = block % buffered.length;
      if (budget.tryReserve(65_536)) {
        buffered[body] += 65_536;
      } else {
        budget.release(buffered[body]);
        buffered[body] = 0;
        rejected++;
      }
      assertThat(budget.usedBytes()).isAtMost(4_194_304L);
    }
    assertThat(rejected).isGreaterThan(0);
    for (int bytes : buffered) {
      budget.release(bytes);
    }
    assertThat(budget.usedBytes()).isEqualTo(0);
    assertThrows(IllegalStateException.class, () -> budget.release(1));
  }
}
