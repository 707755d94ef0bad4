package org.limpetring.routing.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;

/**
 * Random history of one shard: two concurrent owners with different wall clocks, a platform that
 * rejects and delays calls and loses responses, and requesters that retry, time out and crash. The
 * oracle counts the runs of each key.
 */
final class ClaimWorld {

  static final ClaimSettings SETTINGS = new ClaimSettings(2, 5, 20, 300, 40);
  private static final int OWNERS = 2;
  private static final int KEYS = 5;
  private static final long REQUEST_TIMEOUT_MS = 25;

  /** One call of an owner to the platform; a call that timed out may still take effect. */
  private static final class Call {
    final int owner;
    final ClaimEffect effect;
    boolean isTimedOut;

    Call(int owner, ClaimEffect effect) {
      this.owner = owner;
      this.effect = effect;
    }
  }

  /** One request of a caller. */
  private static final class Attempt {
    final ClaimRequest request;
    boolean isEnded;

    Attempt(ClaimRequest request) {
      this.request = request;
    }
  }

  final Map<Integer, Integer> runs = new HashMap<>();
  int grants;
  int notRunDenials;

  private final SplittableRandom random;
  private final ClaimMachine[] owners = new ClaimMachine[OWNERS];
  private final long[] wallOffsetsMs = new long[OWNERS];
  private final List<Call> calls = new ArrayList<>();
  private final Map<String, Attempt> attempts = new HashMap<>();
  private final long[] keyTimesMs = new long[KEYS];
  private @Nullable String stored;
  private long version;
  private long nowMs = 10_000;
  private int nextAttempt;

  ClaimWorld(SplittableRandom random) {
    this.random = random;
    for (int owner = 0; owner < OWNERS; owner++) {
      owners[owner] = new ClaimMachine(SETTINGS);
      wallOffsetsMs[owner] = random.nextInt(-200, 201);
    }
    for (int key = 0; key < KEYS; key++) {
      keyTimesMs[key] = nowMs + random.nextInt(-100, 400);
    }
  }

  void play(int steps) {
    for (int step = 0; step < steps; step++) {
      step();
    }
  }

  private void step() {
    switch (random.nextInt(16)) {
      case 0, 1, 2 -> request();
      case 3 -> retry();
      case 4 -> abandon();
      case 5, 6, 7, 8 -> finishCall();
      case 9 -> timeOutCall();
      case 10 -> crashSometimes();
      case 11 -> nowMs += random.nextInt(8) == 0 ? random.nextInt(300) : 0;
      default -> {
        nowMs += random.nextInt(4);
        for (int owner = 0; owner < OWNERS; owner++) {
          feed(owner, new ClaimEvent.Tick());
        }
      }
    }
  }

  private void request() {
    int key = random.nextInt(KEYS);
    String attemptId = "a" + nextAttempt++;
    String digest = random.nextInt(10) == 0 ? "other" : "same";
    ClaimRequest request =
        new ClaimRequest(new ClaimId("key" + key), keyTimesMs[key], attemptId, digest);
    attempts.put(attemptId, new Attempt(request));
    send(request);
  }

  private void retry() {
    Attempt attempt = anyAttempt();
    if (attempt != null && !attempt.isEnded) {
      send(attempt.request);
    }
  }

  private void send(ClaimRequest request) {
    feed(random.nextInt(OWNERS), new ClaimEvent.Requested(request, nowMs + REQUEST_TIMEOUT_MS));
  }

  /** The requester times out, reports not run, and frees the key at a random owner. */
  private void abandon() {
    Attempt attempt = anyAttempt();
    if (attempt == null || attempt.isEnded) {
      return;
    }
    end(attempt, RunState.NOT_RUN);
  }

  private @Nullable Attempt anyAttempt() {
    return nextAttempt == 0 ? null : attempts.get("a" + random.nextInt(nextAttempt));
  }

  private void end(Attempt attempt, RunState state) {
    attempt.isEnded = true;
    if (random.nextInt(5) == 0) {
      return; // the settlement is lost or the requester crashed
    }
    ClaimSettlement settlement =
        new ClaimSettlement(attempt.request.id(), attempt.request.attempt(), state);
    feed(random.nextInt(OWNERS), new ClaimEvent.Settled(settlement));
  }

  private void onDecision(String attemptId, ClaimDecision decision) {
    Attempt attempt = attempts.get(attemptId);
    if (attempt == null || attempt.isEnded) {
      return;
    }
    if (decision instanceof ClaimDecision.Denied denied) {
      attempt.isEnded = denied.code() != ResultCode.CLAIM_UNAVAILABLE;
      if (!attempt.isEnded) {
        end(attempt, RunState.NOT_RUN);
      }
      notRunDenials += denied.code().runState() == RunState.NOT_RUN ? 1 : 0;
      return;
    }
    grants++;
    boolean isRun = random.nextInt(3) > 0;
    if (isRun) {
      runs.merge(keyOf(attempt), 1, Integer::sum);
    }
    RunState actual = isRun ? RunState.RAN : RunState.NOT_RUN;
    end(attempt, random.nextInt(4) == 0 ? RunState.UNKNOWN : actual);
  }

  private static int keyOf(Attempt attempt) {
    return Integer.parseInt(attempt.request.id().value().substring("key".length()));
  }

  private void finishCall() {
    if (calls.isEmpty()) {
      return;
    }
    Call call = calls.remove(random.nextInt(calls.size()));
    boolean isRefused = random.nextInt(12) == 0;
    ClaimEvent result = isRefused ? refusal(call) : perform(call);
    if (call.isTimedOut) {
      return;
    }
    boolean isLost = call.effect instanceof ClaimEffect.Write && random.nextInt(6) == 0;
    feed(call.owner, isLost ? new ClaimEvent.WriteUnknown() : result);
  }

  /** The owner's call times out; the call itself stays in flight. */
  private void timeOutCall() {
    for (Call call : calls) {
      if (!call.isTimedOut && call.effect instanceof ClaimEffect.Write) {
        call.isTimedOut = true;
        feed(call.owner, new ClaimEvent.WriteUnknown());
        return;
      }
    }
  }

  private void crashSometimes() {
    if (random.nextInt(6) > 0) {
      return;
    }
    int owner = random.nextInt(OWNERS);
    owners[owner] = new ClaimMachine(SETTINGS);
    for (Call call : calls) {
      call.isTimedOut |= call.owner == owner;
    }
  }

  private static ClaimEvent refusal(Call call) {
    return call.effect instanceof ClaimEffect.Load
        ? new ClaimEvent.LoadFailed()
        : new ClaimEvent.WriteRefused();
  }

  private ClaimEvent perform(Call call) {
    if (call.effect instanceof ClaimEffect.Write write) {
      if (write.expectedVersion() != version) {
        return new ClaimEvent.WriteConflicted();
      }
      stored = write.text();
      version++;
      return new ClaimEvent.Written(version);
    }
    return new ClaimEvent.Loaded(stored == null ? "" : stored, version);
  }

  private void feed(int owner, ClaimEvent event) {
    for (ClaimEffect effect : owners[owner].on(event, nowMs, nowMs + wallOffsetsMs[owner])) {
      if (effect instanceof ClaimEffect.Respond respond) {
        onDecision(respond.attempt(), respond.decision());
      } else {
        calls.add(new Call(owner, effect));
      }
    }
  }
}
