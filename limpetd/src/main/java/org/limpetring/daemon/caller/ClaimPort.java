package org.limpetring.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.limpetring.routing.claim.ClaimDecision;
import org.limpetring.routing.claim.ClaimRequest;
import org.limpetring.routing.claim.ClaimSettlement;

/** Sends claims to the owner of their shard. */
public interface ClaimPort {

  /** Claims a key; the future completes within about {@code timeoutMs}. */
  CompletableFuture<ClaimDecision> claim(ClaimRequest request, long timeoutMs);

  /** Records the outcome of a claim; if the record is lost, the key stays claimed. */
  void settle(ClaimSettlement settlement);
}
