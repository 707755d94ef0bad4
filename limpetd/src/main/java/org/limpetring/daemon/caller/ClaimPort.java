package org.limpetring.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.limpetring.routing.claim.ClaimDecision;
import org.limpetring.routing.claim.ClaimRequest;
import org.limpetring.routing.claim.ClaimSettlement;

/** Brings claims to the owner of their shard. */
public interface ClaimPort {

  /** Claims a key; the future ends after about {@code timeoutMs} at the latest. */
  CompletableFuture<ClaimDecision> claim(ClaimRequest request, long timeoutMs);

  /** Records what became of a claim; may be lost, which keeps the key claimed. */
  void settle(ClaimSettlement settlement);
}
