package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.limpetring.base.Clock;
import org.limpetring.daemon.caller.ClaimPort;
import org.limpetring.routing.claim.ClaimDecision;
import org.limpetring.routing.claim.ClaimRequest;
import org.limpetring.routing.claim.ClaimSettings;
import org.limpetring.routing.claim.ClaimSettlement;
import org.limpetring.routing.claim.ClaimShardRunner;
import org.limpetring.store.ObjectStore;

/** Writes claims to the store from this daemon; a shard's thread starts at its first claim. */
public final class LocalClaims implements ClaimPort {

  private final ObjectStore store;
  private final Clock clock;
  private final ConcurrentMap<Integer, ClaimShardRunner> shards = new ConcurrentHashMap<>();

  /** Writes to {@code store}. */
  @Inject
  public LocalClaims(ObjectStore store, Clock clock) {
    this.store = store;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<ClaimDecision> claim(ClaimRequest request, long timeoutMs) {
    return shard(request.id().shard()).claim(request, timeoutMs);
  }

  @Override
  public void settle(ClaimSettlement settlement) {
    shard(settlement.id().shard()).settle(settlement);
  }

  private ClaimShardRunner shard(int number) {
    return shards.computeIfAbsent(
        number,
        shard -> new ClaimShardRunner(shard, store, clock, Clock.wall(), ClaimSettings.DEFAULT));
  }
}
