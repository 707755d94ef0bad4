package org.limpetring.daemon.caller;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.base.Metrics;
import org.limpetring.base.Outcome;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.engine.EnginePort;
import org.limpetring.engine.EngineRequest;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.request.RequestEffect;
import org.limpetring.routing.request.RequestEvent;
import org.limpetring.routing.request.RequestMachine;
import org.limpetring.tables.Caller;
import org.limpetring.tables.Pool;
import org.limpetring.tables.Route;

/**
 * Executes the effects of one request's state machine on the thread of the request.
 *
 * <p>Whether a group may get the request is checked again immediately before it is sent, because
 * the group may have been taken out of service since admission.
 */
final class RequestDriver {

  private static final Logger LOGGER = Logger.getLogger(RequestDriver.class);
  private static final long FIRST_BYTE_TIMEOUT_MS = 10_000;
  private static final long PROGRESS_TIMEOUT_MS = 3_000;

  private final Clock clock;
  private final EnginePort engine;
  private final Admission admission;
  private final Claims claims;
  private final PoisonGuard poisonGuard;
  private final DaemonState state;
  private final RequestMachine machine;
  private final CallerRequest request;
  private final CallerResponse response;
  private final Route route;
  private final Pool pool;
  private final long deadlineAtMs;
  private String detail = "";
  private Admission.@Nullable Permit permit;
  private Admission.TryReport lastReport = Admission.TryReport.NOT_SENT;

  RequestDriver(
      Clock clock,
      EnginePort engine,
      Admission admission,
      Claims claims,
      PoisonGuard poisonGuard,
      DaemonState state,
      RequestMachine machine,
      CallerRequest request,
      CallerResponse response,
      Route route,
      Pool pool) {
    this.clock = clock;
    this.engine = engine;
    this.admission = admission;
    this.claims = claims;
    this.poisonGuard = poisonGuard;
    this.state = state;
    this.machine = machine;
    this.request = request;
    this.response = response;
    this.route = route;
    this.pool = pool;
    long allowedMs =
        request.requestedDeadlineMs() == 0 ? route.deadlineMs() : request.requestedDeadlineMs();
    this.deadlineAtMs = request.arrivedAtMs() + Math.min(allowedMs, route.deadlineMs());
  }

  /** Runs the request until its state machine has no effect left. */
  void run() throws IOException {
    Deque<RequestEffect> effects = new ArrayDeque<>(machine.start());
    try {
      while (!effects.isEmpty()) {
        RequestEvent event = perform(effects.removeFirst());
        if (event != null) {
          List<RequestEffect> next = machine.on(event, clock.nowMs());
          effects.addAll(next);
        }
      }
    } finally {
      release();
    }
  }

  private @Nullable RequestEvent perform(RequestEffect effect) throws IOException {
    if (effect instanceof RequestEffect.Admit admit) {
      return admit(admit);
    }
    if (effect instanceof RequestEffect.Claim claim) {
      return claims.claim(claim.key(), request, deadlineAtMs);
    }
    if (effect instanceof RequestEffect.Dispatch dispatch) {
      return dispatch(dispatch);
    }
    if (effect instanceof RequestEffect.Release) {
      release();
      return null;
    }
    if (effect instanceof RequestEffect.SettleClaim settle) {
      claims.settle(settle.key(), request, settle.runState(), response);
      return null;
    }
    if (effect instanceof RequestEffect.Replay replay) {
      claims.replay(replay.key(), request, response);
      return null;
    }
    if (effect instanceof RequestEffect.Finish finish) {
      finish(finish.code(), finish.runState());
    }
    return null;
  }

  private RequestEvent admit(RequestEffect.Admit admit) {
    if (!state.isFresh(clock.nowMs())) {
      return new RequestEvent.Refused(ResultCode.STALE_DAEMON);
    }
    ResultCode guardResult = poisonGuard.begin(request, pool);
    if (guardResult != ResultCode.OK) {
      return new RequestEvent.Refused(guardResult);
    }
    Admission.Result result = admission.admit(admissionRequest(admit));
    if (result instanceof Admission.Result.Admitted admitted) {
      permit = admitted.permit();
      return new RequestEvent.Admitted(permit.group());
    }
    poisonGuard.end(request, pool);
    return new RequestEvent.Refused(((Admission.Result.Refused) result).code());
  }

  private Admission.AdmissionRequest admissionRequest(RequestEffect.Admit admit) {
    int weight =
        state.config().routes().callers().stream()
            .filter(caller -> caller.name().equals(request.caller()))
            .mapToInt(Caller::weight)
            .findFirst()
            .orElse(1);
    return new Admission.AdmissionRequest(
        pool,
        request.caller(),
        weight,
        route.idempotent(),
        admit.excluded(),
        PromptPrefix.hash(request),
        deadlineAtMs);
  }

  private void release() {
    if (permit != null) {
      permit.release(lastReport);
      poisonGuard.end(request, pool);
    }
    permit = null;
    lastReport = Admission.TryReport.NOT_SENT;
  }

  private RequestEvent dispatch(RequestEffect.Dispatch dispatch) {
    ServingGroup group = dispatch.group();
    long nowMs = clock.nowMs();
    Admission.Permit currentPermit = Objects.requireNonNull(permit);
    if (!state.isFresh(nowMs) || !state.serves(group, currentPermit.isCold(), nowMs)) {
      return new RequestEvent.GroupUnavailable();
    }
    long tryDeadlineAtMs = Math.min(deadlineAtMs, currentPermit.expiresAtMs());
    if (nowMs >= tryDeadlineAtMs) {
      return new RequestEvent.DeadlinePassed();
    }
    Outcome outcome = send(group, dispatch.resumeOffset(), nowMs, tryDeadlineAtMs);
    detail = describe(outcome);
    if (outcome.code() == ResultCode.OK) {
      poisonGuard.onSuccess(request, pool);
      finishResponse();
    } else {
      poisonGuard.onFailure(request, pool, group, outcome.code());
      LogEvent.REQUEST_RETRIED.log(LOGGER, request.id(), detail);
    }
    return new RequestEvent.TryEnded(outcome, response.deliveredEvents());
  }

  /** Sends the rest of the response; the request counts as run even if its caller has gone. */
  private void finishResponse() {
    try {
      response.finish();
    } catch (IOException gone) {
      detail = "caller disconnected before the end of the response";
      LogEvent.REQUEST_FAILED.log(LOGGER, request.id(), detail);
    }
  }

  private Outcome send(ServingGroup group, int resumeOffset, long nowMs, long tryDeadlineAtMs) {
    long remainingMs = tryDeadlineAtMs - nowMs;
    EngineRequest engineRequest =
        new EngineRequest(
            request.id(),
            request.method(),
            request.path(),
            request.contentType(),
            request.body(),
            route.priority(),
            resumeOffset,
            request.chat().streamed(),
            remainingMs,
            route.idempotent() ? FIRST_BYTE_TIMEOUT_MS : remainingMs,
            PROGRESS_TIMEOUT_MS);
    DeadlineSink sink = new DeadlineSink(response.sink(group), clock, tryDeadlineAtMs);
    Outcome outcome = engine.send(group.entryAddress(), engineRequest, sink);
    if (sink.isDeadlineExceeded() && outcome.code() == ResultCode.CANCELLED) {
      outcome = new Outcome.Unknown(ResultCode.UPSTREAM_TIMEOUT, "deadline passed");
    }
    long firstEventMs = sink.firstPartAtMs() < 0 ? -1 : sink.firstPartAtMs() - nowMs;
    lastReport = new Admission.TryReport(true, outcome.code(), firstEventMs, clock.nowMs() - nowMs);
    return outcome;
  }

  private void finish(ResultCode code, RunState runState) throws IOException {
    Metrics.REQUESTS.labelValues(code.name()).inc();
    if (code == ResultCode.OK) {
      return;
    }
    if (runState == RunState.NOT_RUN) {
      Metrics.REFUSALS.labelValues(code.name()).inc();
      LogEvent.REQUEST_REFUSED.log(LOGGER, request.id(), code);
    } else {
      LogEvent.REQUEST_FAILED.log(LOGGER, request.id(), code + ": " + detail);
    }
    response.fail(code, runState, detail);
  }

  private static String describe(Outcome outcome) {
    if (outcome instanceof Outcome.NotRun notRun) {
      return notRun.detail();
    }
    if (outcome instanceof Outcome.Ran ran) {
      return ran.detail();
    }
    return ((Outcome.Unknown) outcome).detail();
  }
}
