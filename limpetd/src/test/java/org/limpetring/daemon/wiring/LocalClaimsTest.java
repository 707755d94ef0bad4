package org.limpetring.daemon.wiring;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.limpetring.base.CallerId;
import org.limpetring.base.Clock;
import org.limpetring.routing.claim.ClaimDecision;
import org.limpetring.routing.claim.ClaimId;
import org.limpetring.routing.claim.ClaimRequest;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.store.memory.MemoryObjectStore;

/** Daemons that write the same shards grant each key exactly once, even if responses are lost. */
final class LocalClaimsTest {

  private static final int DAEMONS = 3;
  private static final int KEYS = 60;
  private static final long TIMEOUT_MS = 5_000;

  @Test
  void concurrentDaemonsGrantEachKeyOnce() {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(5);
    FaultyObjectStore store = new FaultyObjectStore(new MemoryObjectStore());
    List<LocalClaims> daemons = new ArrayList<>();
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      daemons.add(new LocalClaims(store, Clock.system()));
    }
    Set<Integer> granted = new HashSet<>();
    for (int key = 0; key < KEYS; key++) {
      if (random.nextInt(4) == 0) {
        store.loseAnswers(1);
      }
      int grants = 0;
      for (CompletableFuture<ClaimDecision> decision : claimEverywhere(daemons, key)) {
        grants += decision.join() instanceof ClaimDecision.Granted ? 1 : 0;
      }
      assertThat(grants).isAtMost(1);
      if (grants == 1) {
        granted.add(key);
      }
    }
    assertThat(granted).hasSize(KEYS);
  }

  private static List<CompletableFuture<ClaimDecision>> claimEverywhere(
      List<LocalClaims> daemons, int key) {
    List<CompletableFuture<ClaimDecision>> decisions = new ArrayList<>();
    for (int daemon = 0; daemon < daemons.size(); daemon++) {
      ClaimRequest request =
          new ClaimRequest(
              ClaimId.ofOpaque(new CallerId("stores"), "key" + key),
              Clock.wall().nowMs(),
              "attempt-" + key + "-" + daemon,
              "digest");
      decisions.add(daemons.get(daemon).claim(request, TIMEOUT_MS));
    }
    return decisions;
  }
}
