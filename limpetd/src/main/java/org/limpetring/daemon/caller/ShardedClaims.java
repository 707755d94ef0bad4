package org.limpetring.daemon.caller;

import com.google.inject.Inject;
import java.io.IOException;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.limpetring.base.Clock;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.routing.claim.ClaimDecision;
import org.limpetring.routing.claim.ClaimId;
import org.limpetring.routing.claim.ClaimRequest;
import org.limpetring.routing.claim.ClaimSettlement;
import org.limpetring.routing.claim.IdempotencyKey;
import org.limpetring.routing.claim.ResponseCache;
import org.limpetring.routing.claim.StoredResponse;
import org.limpetring.routing.request.RequestEvent;

/**
 * Claims keys in batches by shard, and replays responses to retries that are still cached.
 *
 * <p>A key that is a UUID of version 7 carries its own time and is rejected once it is older than
 * the retention. Any other key counts as new when it first arrives; its caller must not send it
 * again after the retention.
 */
public final class ShardedClaims implements Claims {

  private static final long RESPONSE_CACHE_BYTES = 16 * 1_048_576;
  private static final long MAX_CLAIM_WAIT_MS = 3_000;
  private static final int MAX_ATTEMPT_LENGTH = 24;

  private final ClaimPort port;
  private final Clock clock;
  private final Clock wallClock;
  private final ResponseCache responses = new ResponseCache(RESPONSE_CACHE_BYTES);

  /** Claims through {@code port}. */
  @Inject
  public ShardedClaims(ClaimPort port, Clock clock) {
    this.port = port;
    this.clock = clock;
    this.wallClock = Clock.wall();
  }

  @Override
  public RequestEvent claim(String key, CallerRequest request, long deadlineAtMs) {
    ClaimRequest claimRequest = claimRequest(key, request);
    Optional<StoredResponse> stored = responses.find(claimRequest.id());
    if (stored.isPresent()) {
      return stored.get().requestDigest().equals(claimRequest.requestDigest())
          ? new RequestEvent.ClaimReplayed()
          : new RequestEvent.ClaimDenied(ResultCode.KEY_REUSED);
    }
    long waitMs = Math.min(MAX_CLAIM_WAIT_MS, deadlineAtMs - clock.nowMs());
    ClaimDecision decision = await(claimRequest, waitMs);
    if (decision instanceof ClaimDecision.Denied denied) {
      return new RequestEvent.ClaimDenied(denied.code());
    }
    return new RequestEvent.ClaimGranted();
  }

  @Override
  public void settle(
      String key, CallerRequest request, RunState runState, CallerResponse response) {
    ClaimRequest claimRequest = claimRequest(key, request);
    if (runState == RunState.RAN) {
      response.completeBody().ifPresent(body -> cacheResponse(claimRequest, response, body));
    }
    port.settle(new ClaimSettlement(claimRequest.id(), claimRequest.attempt(), runState));
  }

  @Override
  public void replay(String key, CallerRequest request, CallerResponse response)
      throws IOException {
    Optional<StoredResponse> stored = responses.find(claimRequest(key, request).id());
    if (stored.isEmpty()) {
      response.fail(ResultCode.DUPLICATE_DONE, RunState.RAN, "");
      return;
    }
    response.replay(stored.get().status(), stored.get().contentType(), stored.get().body());
  }

  private void cacheResponse(ClaimRequest claimRequest, CallerResponse response, byte[] body) {
    responses.put(
        claimRequest.id(),
        new StoredResponse(
            claimRequest.requestDigest(), response.status(), response.contentType(), body));
  }

  private ClaimDecision await(ClaimRequest claimRequest, long waitMs) {
    ClaimDecision unavailable = new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE);
    if (waitMs <= 0) {
      return unavailable;
    }
    try {
      return port.claim(claimRequest, waitMs).get(waitMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException undecided) {
      return unavailable;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return unavailable;
    }
  }

  private ClaimRequest claimRequest(String key, CallerRequest request) {
    Optional<IdempotencyKey> timedKey = IdempotencyKey.parse(key);
    ClaimId id =
        timedKey
            .map(found -> ClaimId.of(request.caller(), found))
            .orElseGet(() -> ClaimId.ofOpaque(request.caller(), key));
    long ageMs = clock.nowMs() - request.arrivedAtMs();
    long keyTimeMs = timedKey.map(IdempotencyKey::timeMs).orElse(wallClock.nowMs() - ageMs);
    return new ClaimRequest(
        id,
        keyTimeMs,
        attempt(request),
        ClaimId.requestDigest(request.method(), request.path(), request.body()));
  }

  /** The request id without hyphens, truncated to the longest attempt id of a claim. */
  private static String attempt(CallerRequest request) {
    UUID id = UUID.fromString(request.id().value());
    String hex =
        Long.toHexString(id.getMostSignificantBits())
            + Long.toHexString(id.getLeastSignificantBits());
    return hex.substring(0, Math.min(MAX_ATTEMPT_LENGTH, hex.length()));
  }
}
