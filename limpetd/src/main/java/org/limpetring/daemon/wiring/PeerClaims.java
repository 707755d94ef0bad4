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
 * Brings claims to the daemon that owns their shard, so that they share its writes.
 *
 * <p>Where the owner does not answer, this daemon writes the claim itself under the same attempt:
 * two writers of a shard cost a conflict, never a second grant.
 */
public final class PeerClaims implements ClaimPort {

  private static final long OWNER_WAIT_MS = 1_000;
  private static final ClaimDecision UNAVAILABLE =
      new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE);

  private final LocalClaims local;
  private final FleetNode node;
  private final PeerTransport transport;

  /** Sends to owners over {@code transport}, or writes through {@code local}. */
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
    long waitMs = Math.min(OWNER_WAIT_MS, timeoutMs / 2);
    return transport
        .request(owner.get(), ClaimCodec.claim(request, waitMs), waitMs)
        .thenApply(response -> ClaimCodec.answer(response.getClaimResponse()))
        .exceptionally(failure -> UNAVAILABLE)
        .thenCompose(
            answer ->
                answer.equals(UNAVAILABLE)
                    ? local.claim(request, timeoutMs - waitMs)
                    : CompletableFuture.completedFuture(answer));
  }

  @Override
  public void settle(ClaimSettlement settlement) {
    Optional<PeerAddress> owner = owner(settlement.id());
    if (owner.isEmpty()) {
      local.settle(settlement);
      return;
    }
    transport.send(owner.get(), ClaimCodec.settle(settlement));
  }

  /** Serves a peer's claim; blocks until it is written. */
  Envelope serve(org.limpetring.peer.proto.ClaimRequest message) {
    if (message.getKind() == org.limpetring.peer.proto.ClaimRequest.Kind.SETTLE) {
      local.settle(
          new ClaimSettlement(
              new ClaimId(message.getClaim()),
              message.getAttempt(),
              RunState.valueOf(message.getRunState())));
      return ClaimCodec.answer(new ClaimDecision.Granted());
    }
    long timeoutMs = Math.min(OWNER_WAIT_MS, message.getTimeoutMs());
    try {
      ClaimDecision answer =
          local.claim(ClaimCodec.request(message), timeoutMs).get(timeoutMs, TimeUnit.MILLISECONDS);
      return ClaimCodec.answer(answer);
    } catch (ExecutionException | TimeoutException late) {
      return ClaimCodec.answer(UNAVAILABLE);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return ClaimCodec.answer(UNAVAILABLE);
    }
  }

  /** Where the owner of a claim's shard listens; empty where that is this daemon or nobody. */
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
