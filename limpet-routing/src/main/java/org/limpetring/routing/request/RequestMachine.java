package org.limpetring.routing.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.GroupId;
import org.limpetring.base.Invariant;
import org.limpetring.base.Metrics;
import org.limpetring.base.Outcome;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.request.RequestEffect.Admit;
import org.limpetring.routing.request.RequestEffect.CancelTry;
import org.limpetring.routing.request.RequestEffect.Claim;
import org.limpetring.routing.request.RequestEffect.Dispatch;
import org.limpetring.routing.request.RequestEffect.Finish;
import org.limpetring.routing.request.RequestEffect.Release;
import org.limpetring.routing.request.RequestEffect.Replay;
import org.limpetring.routing.request.RequestEffect.SettleClaim;

/**
 * State machine of one request, from its arrival to its result.
 *
 * <p>Non-idempotent work is claimed before its first dispatch and is dispatched again only if no
 * earlier try ran. Idempotent work is retried at other groups as long as the retry permit, the
 * number of tries and the deadline allow; a retry resumes at the first event that the caller has
 * not received. The final run state combines all tries. Not thread-safe.
 */
public final class RequestMachine {

  private enum Phase {
    NEW,
    ADMITTING,
    CLAIMING,
    TRYING,
    FINISHED
  }

  private final RequestTraits traits;
  private final RetryPermit retryPermit;
  private final Set<GroupId> excluded = new HashSet<>();
  private Phase phase = Phase.NEW;
  private @Nullable ServingGroup group;
  private @Nullable ResultCode failure;
  private RunState runState = RunState.NOT_RUN;
  private boolean isClaimed;
  private boolean isCallerDisconnected;
  private int tries;
  private int eventsDelivered;

  /** Creates the state machine of a request that has just arrived. */
  public RequestMachine(RequestTraits traits, RetryPermit retryPermit) {
    this.traits = traits;
    this.retryPermit = retryPermit;
  }

  /** Returns the first effects; must be called exactly once. */
  public List<RequestEffect> start() {
    if (phase != Phase.NEW) {
      throw new IllegalStateException("already started");
    }
    phase = Phase.ADMITTING;
    return List.of(new Admit(Set.of()));
  }

  /** Whether the result is final; later events only release what they granted. */
  public boolean isFinished() {
    return phase == Phase.FINISHED;
  }

  /** Run state over all tries so far; unknown while a try is in progress. */
  public RunState runState() {
    return phase == Phase.TRYING ? runState.then(RunState.UNKNOWN) : runState;
  }

  /**
   * Returns the effects of {@code event} at {@code nowMs}; an event that is not valid in the
   * current phase has no effect other than a release.
   */
  public List<RequestEffect> on(RequestEvent event, long nowMs) {
    if (phase == Phase.FINISHED) {
      return onEventAfterFinish(event);
    }
    if (event instanceof RequestEvent.Admitted admitted) {
      return onAdmitted(admitted.group());
    }
    if (event instanceof RequestEvent.Refused refused) {
      return phase == Phase.ADMITTING ? finish(refused.code()) : List.of();
    }
    if (event instanceof RequestEvent.ClaimGranted) {
      return onClaimGranted();
    }
    if (event instanceof RequestEvent.ClaimDenied denied) {
      return onClaimDenied(denied.code());
    }
    if (event instanceof RequestEvent.ClaimReplayed) {
      return onClaimReplayed();
    }
    if (event instanceof RequestEvent.GroupUnavailable) {
      return onGroupUnavailable();
    }
    if (event instanceof RequestEvent.TryEnded ended) {
      return onTryEnded(ended, nowMs);
    }
    if (event instanceof RequestEvent.DeadlinePassed) {
      return interrupt(ResultCode.QUEUE_TIMEOUT, ResultCode.UPSTREAM_TIMEOUT);
    }
    if (event instanceof RequestEvent.CallerDisconnected) {
      return onCallerDisconnected();
    }
    return phase == Phase.TRYING ? List.of() : finish(ResultCode.STOPPING);
  }

  /** Releases a permit or claim that was granted after the request had finished. */
  private List<RequestEffect> onEventAfterFinish(RequestEvent event) {
    if (event instanceof RequestEvent.Admitted admitted) {
      return List.of(new Release(admitted.group()));
    }
    if (event instanceof RequestEvent.ClaimGranted && traits.claimKey() != null) {
      return List.of(new SettleClaim(traits.claimKey(), RunState.NOT_RUN));
    }
    return List.of();
  }

  private List<RequestEffect> onAdmitted(ServingGroup admittedGroup) {
    if (phase != Phase.ADMITTING) {
      return List.of(new Release(admittedGroup));
    }
    group = admittedGroup;
    if (traits.claimKey() != null && !isClaimed) {
      phase = Phase.CLAIMING;
      return List.of(new Claim(traits.claimKey()));
    }
    return dispatch();
  }

  private List<RequestEffect> onClaimGranted() {
    if (phase != Phase.CLAIMING) {
      return List.of();
    }
    isClaimed = true;
    return dispatch();
  }

  private List<RequestEffect> onClaimDenied(ResultCode code) {
    if (phase != Phase.CLAIMING) {
      return List.of();
    }
    runState = runState.then(code.runState());
    if (code != ResultCode.CLAIM_UNAVAILABLE || traits.claimKey() == null) {
      return finish(code);
    }
    List<RequestEffect> effects = new ArrayList<>();
    effects.add(new SettleClaim(traits.claimKey(), RunState.NOT_RUN));
    effects.addAll(finish(code));
    return effects;
  }

  private List<RequestEffect> onClaimReplayed() {
    if (phase != Phase.CLAIMING || traits.claimKey() == null) {
      return List.of();
    }
    runState = RunState.RAN;
    List<RequestEffect> effects = new ArrayList<>();
    effects.add(new Replay(traits.claimKey()));
    effects.addAll(finish(ResultCode.OK));
    return effects;
  }

  private List<RequestEffect> dispatch() {
    ServingGroup target = requireGroup();
    boolean mayDispatch = traits.idempotent() || runState == RunState.NOT_RUN;
    Invariant.AT_MOST_ONCE.check(mayDispatch, "dispatch after " + runState);
    if (!mayDispatch) {
      return finish(ResultCode.INTERNAL);
    }
    phase = Phase.TRYING;
    tries++;
    return List.of(new Dispatch(target, eventsDelivered));
  }

  private List<RequestEffect> onGroupUnavailable() {
    if (phase != Phase.TRYING) {
      return List.of();
    }
    tries--;
    return retryElsewhere();
  }

  private List<RequestEffect> onTryEnded(RequestEvent.TryEnded ended, long nowMs) {
    if (phase != Phase.TRYING) {
      return List.of();
    }
    Outcome outcome = ended.outcome();
    runState = runState.then(outcome.runState());
    eventsDelivered = Math.max(eventsDelivered, ended.eventsDelivered());
    if (outcome.code() == ResultCode.OK) {
      return finish(ResultCode.OK);
    }
    recordFailure(outcome.code());
    if (isCallerDisconnected) {
      return finish(ResultCode.CANCELLED);
    }
    if (!mayRetry(outcome)) {
      return finish(outcome.code());
    }
    if (!retryPermit.tryAcquire(nowMs)) {
      return finish(ResultCode.RETRY_BUDGET_SPENT);
    }
    Metrics.RETRIES.labelValues(outcome.code().name()).inc();
    return retryElsewhere();
  }

  private boolean mayRetry(Outcome outcome) {
    if (tries >= traits.maxTries()) {
      return false;
    }
    if (eventsDelivered > 0 && !traits.resumable()) {
      return false;
    }
    if (outcome instanceof Outcome.NotRun) {
      return traits.idempotent() || runState == RunState.NOT_RUN;
    }
    return traits.idempotent() && outcome.code().retry() == ResultCode.Retry.IF_IDEMPOTENT;
  }

  private List<RequestEffect> retryElsewhere() {
    ServingGroup previous = requireGroup();
    excluded.add(previous.id());
    group = null;
    phase = Phase.ADMITTING;
    return List.of(new Release(previous), new Admit(Set.copyOf(excluded)));
  }

  private List<RequestEffect> onCallerDisconnected() {
    if (phase == Phase.TRYING && !traits.idempotent()) {
      isCallerDisconnected = true;
      return List.of();
    }
    return interrupt(ResultCode.CANCELLED, ResultCode.CANCELLED);
  }

  private List<RequestEffect> interrupt(ResultCode beforeDispatch, ResultCode inTry) {
    if (phase != Phase.TRYING) {
      return finish(beforeDispatch);
    }
    List<RequestEffect> effects = new ArrayList<>();
    effects.add(new CancelTry(requireGroup()));
    runState = runState.then(RunState.UNKNOWN);
    effects.addAll(finish(inTry));
    return effects;
  }

  private void recordFailure(ResultCode code) {
    if (failure == null || code.runState() != RunState.NOT_RUN) {
      failure = code;
    }
  }

  private List<RequestEffect> finish(ResultCode code) {
    List<RequestEffect> effects = new ArrayList<>();
    if (group != null) {
      effects.add(new Release(group));
    }
    if (isClaimed && traits.claimKey() != null) {
      effects.add(new SettleClaim(traits.claimKey(), runState));
    }
    phase = Phase.FINISHED;
    ResultCode reported = consistentCode(code);
    boolean isConsistent = reported.runState() != RunState.NOT_RUN || runState == RunState.NOT_RUN;
    Invariant.NOT_RUN_IS_TRUE.check(isConsistent, reported + " after " + runState);
    effects.add(new Finish(reported, runState));
    return effects;
  }

  /**
   * Returns a code whose run state agrees with the request's: a code that means not run is replaced
   * if a try may have run, and the other way round.
   */
  private ResultCode consistentCode(ResultCode code) {
    if (code == ResultCode.RETRY_BUDGET_SPENT && runState == RunState.NOT_RUN) {
      return failure == null ? ResultCode.UPSTREAM_REFUSED : failure;
    }
    if (runState == RunState.NOT_RUN || code.runState() != RunState.NOT_RUN) {
      return code;
    }
    if (failure != null && failure.runState() != RunState.NOT_RUN) {
      return failure;
    }
    return ResultCode.UPSTREAM_LOST;
  }

  private ServingGroup requireGroup() {
    if (group == null) {
      throw new IllegalStateException("no group in phase " + phase);
    }
    return group;
  }
}
