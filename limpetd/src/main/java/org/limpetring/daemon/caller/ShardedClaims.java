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
 * Claims keys in shards, in batches, and answers repeats from memory where the answer is held.
 *
 * <p>A key that is a UUID of version 7 carries its own time and is refused once forgotten. Any
 * other key counts as new when it first arrives; its caller must not send it again after the
 * retention.
 */
public final class ShardedClaims implements Claims {

  private static final long ANSWER_CACHE_BYTES = 16 * 1_048_576;
  private static final long MAX_WAIT_MS = 3_000;
  private static final int ATTEMPT_LENGTH = 24;

  private final ClaimPort port;
  private final Clock clock;
  private final Clock wall;
  private final ResponseCache answers = new ResponseCache(ANSWER_CACHE_BYTES);

  /** Claims through {@code port}. */
  @Inject
  public ShardedClaims(ClaimPort port, Clock clock) {
    this.port = port;
    this.clock = clock;
    this.wall = Clock.wall();
  }

  @Override
  public RequestEvent claim(String key, CallerRequest request, long deadlineAtMs) {
    ClaimRequest wish = wish(key, request);
    Optional<StoredResponse> stored = answers.find(wish.id());
    if (stored.isPresent()) {
      return stored.get().requestDigest().equals(wish.requestDigest())
          ? new RequestEvent.ClaimReplayed()
          : new RequestEvent.ClaimDenied(ResultCode.KEY_REUSED);
    }
    long waitMs = Math.min(MAX_WAIT_MS, deadlineAtMs - clock.nowMs());
    ClaimDecision answer = await(wish, waitMs);
    if (answer instanceof ClaimDecision.Denied denied) {
      return new RequestEvent.ClaimDenied(denied.code());
    }
    return new RequestEvent.ClaimGranted();
  }

  @Override
  public void settle(String key, CallerRequest request, RunState runState, CallerAnswer answer) {
    ClaimRequest wish = wish(key, request);
    if (runState == RunState.RAN) {
      answer.wholeBody().ifPresent(body -> keep(wish, answer, body));
    }
    port.settle(new ClaimSettlement(wish.id(), wish.attempt(), runState));
  }

  @Override
  public void replay(String key, CallerRequest request, CallerAnswer answer) throws IOException {
    Optional<StoredResponse> stored = answers.find(wish(key, request).id());
    if (stored.isEmpty()) {
      answer.fail(ResultCode.DUPLICATE_DONE, RunState.RAN, "");
      return;
    }
    answer.replay(stored.get().status(), stored.get().contentType(), stored.get().body());
  }

  private void keep(ClaimRequest wish, CallerAnswer answer, byte[] body) {
    answers.put(
        wish.id(),
        new StoredResponse(wish.requestDigest(), answer.status(), answer.contentType(), body));
  }

  private ClaimDecision await(ClaimRequest wish, long waitMs) {
    ClaimDecision unavailable = new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE);
    if (waitMs <= 0) {
      return unavailable;
    }
    try {
      return port.claim(wish, waitMs).get(waitMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException late) {
      return unavailable;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return unavailable;
    }
  }

  private ClaimRequest wish(String key, CallerRequest request) {
    Optional<IdempotencyKey> timed = IdempotencyKey.parse(key);
    ClaimId id =
        timed
            .map(found -> ClaimId.of(request.caller(), found))
            .orElseGet(() -> ClaimId.ofOpaque(request.caller(), key));
    long ageMs = clock.nowMs() - request.arrivedMs();
    long keyTimeMs = timed.map(IdempotencyKey::timeMs).orElse(wall.nowMs() - ageMs);
    return new ClaimRequest(
        id,
        keyTimeMs,
        attempt(request),
        ClaimId.requestDigest(request.method(), request.path(), request.body()));
  }

  /** The request id without hyphens, cut to the length that a claim may carry. */
  private static String attempt(CallerRequest request) {
    UUID id = UUID.fromString(request.id().value());
    String hex =
        Long.toHexString(id.getMostSignificantBits())
            + Long.toHexString(id.getLeastSignificantBits());
    return hex.substring(0, Math.min(ATTEMPT_LENGTH, hex.length()));
  }
}
