package org.limpetring.routing.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.limpetring.base.Clock;
import org.limpetring.base.ResultCode;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.store.memory.MemoryObjectStore;

final class ClaimShardRunnerTest {

  private static final long TIMEOUT_MS = 5_000;
  private static final int KEYS = 200;

  private final FaultyObjectStore store = new FaultyObjectStore(new MemoryObjectStore());

  @Test
  void twoOwnersWithLostResponsesGrantEachKeyOnce() throws Exception {
    store.loseAnswers(3);
    try (ClaimShardRunner first = runner();
        ClaimShardRunner second = runner()) {
      List<CompletableFuture<ClaimDecision>> decisions = new ArrayList<>();
      for (int key = 0; key < KEYS; key++) {
        decisions.add(first.claim(request(key, "a" + key), TIMEOUT_MS));
        decisions.add(second.claim(request(key, "b" + key), TIMEOUT_MS));
      }
      for (int key = 0; key < KEYS; key++) {
        ClaimDecision one = decisions.get(2 * key).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        ClaimDecision two = decisions.get(2 * key + 1).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertThat(List.of(one, two)).contains(new ClaimDecision.Granted());
        assertThat(one).isNotEqualTo(two);
      }
    }
  }

  @Test
  void claimDeniedInAnOutageIsGrantedAfterwards() throws Exception {
    try (ClaimShardRunner runner = runner()) {
      store.setDown(true);
      assertThat(runner.claim(request(1, "a"), TIMEOUT_MS).get(TIMEOUT_MS, TimeUnit.MILLISECONDS))
          .isEqualTo(new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE));
      store.setDown(false);
      assertThat(runner.claim(request(1, "b"), TIMEOUT_MS).get(TIMEOUT_MS, TimeUnit.MILLISECONDS))
          .isEqualTo(new ClaimDecision.Granted());
    }
  }

  private ClaimShardRunner runner() {
    return new ClaimShardRunner(0, store, Clock.system(), Clock.wall(), ClaimSettings.DEFAULT);
  }

  private static ClaimRequest request(int key, String attempt) {
    return new ClaimRequest(
        new ClaimId("key" + key), Clock.wall().nowMs() - 1_000, attempt, "digest");
  }
}
