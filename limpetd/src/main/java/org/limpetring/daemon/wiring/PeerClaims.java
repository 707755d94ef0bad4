package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.limpetring.base.DaemonId;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.daemon.caller.ClaimPort;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.Role;
import org.limpetring.fleet.node.FleetNode;
import org.limpetring.fleet.node.FleetView;
import org.limpetring.peer.PeerAddress;
import org.limpetring.peer.PeerTransport;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.routing.claim.ClaimDecision;
import org.limpetring.routing.claim.ClaimId;
import org.limpetring.routing.claim.ClaimRequest;
import org.limpetring.routing.claim.ClaimSettlement;

/**
 * Sends claims to the daemon that owns their shard, which batches them into its writes.
 *
 * <p>If the owner does not respond, this daemon writes the claim itself under the same attempt. Two
 * writers of a shard may cause a write conflict, but never a second grant.
 */
public final class PeerClaims implements ClaimPort {

  private static final long OWNER_TIMEOUT_MS = 1_000;
  private static final ClaimDecision UNAVAILABLE =
      new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE);

  private final LocalClaims local;
  private final FleetNode node;
  private final PeerTransport transport;

  /** Sends to shard owners over {@code transport}; falls back to {@code local}. */
  @Inject
  public PeerClaims(LocalClaims local, FleetNode node, PeerTransport transport) {
    this.local = local;
    this.node = node;
    this.transport = transport;
  }

  @Override
  public CompletableFuture<ClaimDecision> claim(ClaimRequest request, long timeoutMs) {
    Optional<PeerAddress> owner = owner(request.id());
    if (owner.isEmpty()) {
      return local.claim(request, timeoutMs);
    }
    long waitMs = Math.min(OWNER_TIMEOUT_MS, timeoutMs / 2);
    return transport
        .request(owner.get(), ClaimCodec.encodeClaim(request, waitMs), waitMs)
        .thenApply(response -> ClaimCodec.decodeDecision(response.getClaimResponse()))
        .exceptionally(failure -> UNAVAILABLE)
        .thenCompose(
            decision ->
                decision.equals(UNAVAILABLE)
                    ? local.claim(request, timeoutMs - waitMs)
                    : CompletableFuture.completedFuture(decision));
  }

  @Override
  public void settle(ClaimSettlement settlement) {
    Optional<PeerAddress> owner = owner(settlement.id());
    if (owner.isEmpty()) {
      local.settle(settlement);
      return;
    }
    transport.send(owner.get(), ClaimCodec.encodeSettlement(settlement));
  }

  /** Handles a peer's claim or settlement; blocks until a claim is decided. */
  Envelope serve(org.limpetring.peer.proto.ClaimRequest message) {
    if (message.getKind() == org.limpetring.peer.proto.ClaimRequest.Kind.SETTLE) {
      local.settle(
          new ClaimSettlement(
              new ClaimId(message.getClaim()),
              message.getAttempt(),
              RunState.valueOf(message.getRunState())));
      return ClaimCodec.encodeDecision(new ClaimDecision.Granted());
    }
    long timeoutMs = Math.min(OWNER_TIMEOUT_MS, message.getTimeoutMs());
    try {
      ClaimDecision decision =
          local
              .claim(ClaimCodec.decodeClaim(message), timeoutMs)
              .get(timeoutMs, TimeUnit.MILLISECONDS);
      return ClaimCodec.encodeDecision(decision);
    } catch (ExecutionException | TimeoutException undecided) {
      return ClaimCodec.encodeDecision(UNAVAILABLE);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return ClaimCodec.encodeDecision(UNAVAILABLE);
    }
  }

  /** Address of the owner of a claim's shard; empty if it is this daemon or there is no owner. */
  private Optional<PeerAddress> owner(ClaimId id) {
    FleetView view = node.view();
    for (DaemonId holder : Role.claimOwner(id.shard()).holders(view.roster())) {
      if (holder.equals(view.self())) {
        return Optional.empty();
      }
      for (DaemonEntry entry : view.roster().daemons()) {
        if (entry.id().equals(holder)) {
          return Optional.of(new PeerAddress(entry.address(), entry.peerPort()));
        }
      }
    }
    return Optional.empty();
  }
}
