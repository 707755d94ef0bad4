package org.limpetring.entry.net;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class BufferBudgetTest {

  private static final long LIMIT_BYTES = 4_194_304;
  private static final int BLOCK_BYTES = 65_536;

  private final BufferBudget budget = new BufferBudget(LIMIT_BYTES);

  /** A body that is discarded when it is evicted. */
  private final class Body {
    private final BufferBudget.Account account = budget.open(this::onEvicted);
    private long bytes;
    private int evictions;

    boolean append(long added) {
      if (!account.tryHold(bytes + added)) {
        return false;
      }
      bytes += added;
      return true;
    }

    private void onEvicted() {
      bytes = 0;
      evictions++;
    }
  }

  /** A hundred bodies without end, each in blocks of 64 KiB, against a budget of 4 MiB. */
  @Test
  void bodiesWithoutEndNeverExceedTheLimit() {
    List<Body> bodies = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      bodies.add(new Body());
    }
    int gaveWay = 0;
    for (int block = 0; block < 1_000; block++) {
      Body body = bodies.get(block % bodies.size());
      if (!body.append(BLOCK_BYTES)) {
        body.account.release();
        body.bytes = 0;
        gaveWay++;
      }
      assertThat(budget.usedBytes()).isAtMost(LIMIT_BYTES);
      assertThat(bodies.stream().mapToLong(each -> each.bytes).sum()).isEqualTo(budget.usedBytes());
    }
    gaveWay += bodies.stream().mapToInt(body -> body.evictions).sum();
    assertThat(gaveWay).isGreaterThan(0);
    for (Body body : bodies) {
      body.account.release();
    }
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void largestBufferGivesWayToSmallerOnes() {
    Body large = new Body();
    Body medium = new Body();
    Body small = new Body();
    assertThat(large.append(LIMIT_BYTES - 2 * BLOCK_BYTES)).isTrue();
    assertThat(medium.append(2 * BLOCK_BYTES)).isTrue();
    assertThat(small.append(100)).isTrue();
    assertThat(List.of(large.evictions, medium.evictions, small.evictions))
        .containsExactly(1, 0, 0)
        .inOrder();
  }

  @Test
  void largestBufferIsRefusedMore() {
    Body large = new Body();
    Body small = new Body();
    assertThat(large.append(LIMIT_BYTES - BLOCK_BYTES)).isTrue();
    assertThat(small.append(BLOCK_BYTES)).isTrue();
    assertThat(large.append(1)).isFalse();
    assertThat(small.evictions).isEqualTo(0);
    assertThat(budget.usedBytes()).isEqualTo(LIMIT_BYTES);
  }
}
