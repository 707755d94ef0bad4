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
 * Decides the course of one request from arrival to its result.
 *
 * <p>Non-idempotent work is claimed before its first dispatch and dispatched again only after a try
 * that did not run. Idempotent work is retried at other groups while the retry permit, the number
 * of tries and the deadline allow, from the first event that the caller lacks. The final run state
 * joins all tries. One thread uses a machine at a time.
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
  private boolean claimed;
  private boolean callerLeft;
  private int tries;
  private int eventsDelivered;

  /** Machine of a request that has just arrived. */
  public RequestMachine(RequestTraits traits, RetryPermit retryPermit) {
    this.traits = traits;
    this.retryPermit = retryPermit;
  }

  /** First effects; called once. */
  public List<RequestEffect> start() {
    if (phase != Phase.NEW) {
      throw new IllegalStateException("already started");
    }
    phase = Phase.ADMITTING;
    return List.of(new Admit(Set.of()));
  }

  /** Whether the result is settled; later events are ignored. */
  public boolean isFinished() {
    return phase == Phase.FINISHED;
  }

  /** Run state over all tries so far; unknown while a try is in progress. */
  public RunState runState() {
    return phase == Phase.TRYING ? runState.then(RunState.UNKNOWN) : runState;
  }

  /** Effects of {@code event} at {@code nowMs}; an event that does not fit the phase has none. */
  public List<RequestEffect> on(RequestEvent event, long nowMs) {
    if (phase == Phase.FINISHED) {
      return onLate(event);
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
      return onGroupGone();
    }
    if (event instanceof RequestEvent.TryEnded ended) {
      return onTryEnded(ended, nowMs);
    }
    if (event instanceof RequestEvent.DeadlinePassed) {
      return interrupt(ResultCode.QUEUE_TIMEOUT, ResultCode.UPSTREAM_TIMEOUT);
    }
    if (event instanceof RequestEvent.CallerDisconnected) {
      return onCallerLeft();
    }
    return phase == Phase.TRYING ? List.of() : finish(ResultCode.STOPPING);
  }

  /** Gives back what was granted to a request that had ended meanwhile. */
  private List<RequestEffect> onLate(RequestEvent event) {
    if (event instanceof RequestEvent.Admitted admitted) {
      return List.of(new Release(admitted.group()));
    }
    if (event instanceof RequestEvent.ClaimGranted && traits.claimKey() != null) {
      return List.of(new SettleClaim(traits.claimKey(), RunState.NOT_RUN));
    }
    return List.of();
  }

  private List<RequestEffect> onAdmitted(ServingGroup admittedTo) {
    if (phase != Phase.ADMITTING) {
      return List.of(new Release(admittedTo));
    }
    group = admittedTo;
    if (traits.claimKey() != null && !claimed) {
      phase = Phase.CLAIMING;
      return List.of(new Claim(traits.claimKey()));
    }
    return dispatch();
  }

  private List<RequestEffect> onClaimGranted() {
    if (phase != Phase.CLAIMING) {
      return List.of();
    }
    claimed = true;
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
    ServingGroup chosen = requireGroup();
    boolean mayRepeat = traits.idempotent() || runState == RunState.NOT_RUN;
    Invariant.AT_MOST_ONCE.check(mayRepeat, "dispatch after " + runState);
    if (!mayRepeat) {
      return finish(ResultCode.INTERNAL);
    }
    phase = Phase.TRYING;
    tries++;
    return List.of(new Dispatch(chosen, eventsDelivered));
  }

  private List<RequestEffect> onGroupGone() {
    if (phase != Phase.TRYING) {
      return List.of();
    }
    tries--;
    return admitElsewhere();
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
    noteFailure(outcome.code());
    if (callerLeft) {
      return finish(ResultCode.CANCELLED);
    }
    if (!mayRetry(outcome)) {
      return finish(outcome.code());
    }
    if (!retryPermit.tryTake(nowMs)) {
      return finish(ResultCode.RETRY_BUDGET_SPENT);
    }
    Metrics.RETRIES.labelValues(outcome.code().name()).inc();
    return admitElsewhere();
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

  private List<RequestEffect> admitElsewhere() {
    ServingGroup tried = requireGroup();
    excluded.add(tried.id());
    group = null;
    phase = Phase.ADMITTING;
    return List.of(new Release(tried), new Admit(Set.copyOf(excluded)));
  }

  private List<RequestEffect> onCallerLeft() {
    if (phase == Phase.TRYING && !traits.idempotent()) {
      callerLeft = true;
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

  private void noteFailure(ResultCode code) {
    if (failure == null || code.runState() != RunState.NOT_RUN) {
      failure = code;
    }
  }

  private List<RequestEffect> finish(ResultCode code) {
    List<RequestEffect> effects = new ArrayList<>();
    if (group != null) {
      effects.add(new Release(group));
    }
    if (claimed && traits.claimKey() != null) {
      effects.add(new SettleClaim(traits.claimKey(), runState));
    }
    phase = Phase.FINISHED;
    ResultCode told = truthful(code);
    boolean isTruthful = told.runState() != RunState.NOT_RUN || runState == RunState.NOT_RUN;
    Invariant.NOT_RUN_IS_TRUE.check(isTruthful, told + " after " + runState);
    effects.add(new Finish(told, runState));
    return effects;
  }

  /** Replaces a code that claims not run after a try that may have run, and the other way round. */
  private ResultCode truthful(ResultCode code) {
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
