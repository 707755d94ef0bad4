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
 * Carries the effects of one request's machine out, on the thread of the request.
 *
 * <p>Whether a group may get the request is looked up once more right before it is sent.
 */
final class RequestDriver {

  private static final Logger LOGGER = Logger.getLogger(RequestDriver.class);
  private static final long FIRST_BYTE_MS = 10_000;
  private static final long PROGRESS_MS = 3_000;

  private final Clock clock;
  private final EnginePort engine;
  private final Admission admission;
  private final Claims claims;
  private final Suspects suspects;
  private final DaemonState state;
  private final RequestMachine machine;
  private final CallerRequest request;
  private final CallerAnswer answer;
  private final Route route;
  private final Pool pool;
  private final long deadlineAtMs;
  private String detail = "";
  private Admission.@Nullable Permit permit;
  private Admission.TryReport lastTry = Admission.TryReport.NOT_SENT;

  RequestDriver(
      Clock clock,
      EnginePort engine,
      Admission admission,
      Claims claims,
      Suspects suspects,
      DaemonState state,
      RequestMachine machine,
      CallerRequest request,
      CallerAnswer answer,
      Route route,
      Pool pool) {
    this.clock = clock;
    this.engine = engine;
    this.admission = admission;
    this.claims = claims;
    this.suspects = suspects;
    this.state = state;
    this.machine = machine;
    this.request = request;
    this.answer = answer;
    this.route = route;
    this.pool = pool;
    long allowedMs = request.wantedMs() == 0 ? route.deadlineMs() : request.wantedMs();
    this.deadlineAtMs = request.arrivedMs() + Math.min(allowedMs, route.deadlineMs());
  }

  /** Runs the request to its end. */
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
      claims.settle(settle.key(), request, settle.runState(), answer);
      return null;
    }
    if (effect instanceof RequestEffect.Replay replay) {
      claims.replay(replay.key(), request, answer);
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
    ResultCode suspicion = suspects.begin(request, pool);
    if (suspicion != ResultCode.OK) {
      return new RequestEvent.Refused(suspicion);
    }
    Admission.Result result = admission.admit(ask(admit));
    if (result instanceof Admission.Result.Admitted admitted) {
      permit = admitted.permit();
      return new RequestEvent.Admitted(permit.group());
    }
    suspects.end(request, pool);
    return new RequestEvent.Refused(((Admission.Result.Refused) result).code());
  }

  private Admission.Ask ask(RequestEffect.Admit admit) {
    int weight =
        state.config().routes().callers().stream()
            .filter(caller -> caller.name().equals(request.caller()))
            .mapToInt(Caller::weight)
            .findFirst()
            .orElse(1);
    return new Admission.Ask(
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
      permit.release(lastTry);
      suspects.end(request, pool);
    }
    permit = null;
    lastTry = Admission.TryReport.NOT_SENT;
  }

  private RequestEvent dispatch(RequestEffect.Dispatch dispatch) {
    ServingGroup group = dispatch.group();
    long nowMs = clock.nowMs();
    Admission.Permit held = Objects.requireNonNull(permit);
    if (!state.isFresh(nowMs) || !state.serves(group, held.isCold(), nowMs)) {
      return new RequestEvent.GroupUnavailable();
    }
    long endsAtMs = Math.min(deadlineAtMs, held.endsAtMs());
    if (nowMs >= endsAtMs) {
      return new RequestEvent.DeadlinePassed();
    }
    Outcome outcome = send(group, dispatch.resumeOffset(), nowMs, endsAtMs);
    detail = describe(outcome);
    if (outcome.code() == ResultCode.OK) {
      suspects.answered(request, pool);
      finishAnswer();
    } else {
      suspects.failed(request, pool, group, outcome.code());
      LogEvent.REQUEST_RETRIED.log(LOGGER, request.id(), detail);
    }
    return new RequestEvent.TryEnded(outcome, answer.deliveredEvents());
  }

  /** The work ran, whether or not its caller is still there to hear of it. */
  private void finishAnswer() {
    try {
      answer.finish();
    } catch (IOException gone) {
      detail = "caller left before the end of the answer";
      LogEvent.REQUEST_FAILED.log(LOGGER, request.id(), detail);
    }
  }

  private Outcome send(ServingGroup group, int resumeOffset, long nowMs, long endsAtMs) {
    long leftMs = endsAtMs - nowMs;
    EngineRequest sent =
        new EngineRequest(
            request.id(),
            request.method(),
            request.path(),
            request.contentType(),
            request.body(),
            route.priority(),
            resumeOffset,
            request.chat().streamed(),
            leftMs,
            route.idempotent() ? FIRST_BYTE_MS : leftMs,
            PROGRESS_MS);
    TimedSink sink = new TimedSink(answer.sink(group), clock, endsAtMs);
    Outcome outcome = engine.send(group.entryAddress(), sent, sink);
    if (sink.isLate() && outcome.code() == ResultCode.CANCELLED) {
      outcome = new Outcome.Unknown(ResultCode.UPSTREAM_TIMEOUT, "deadline passed");
    }
    long firstEventMs = sink.firstPartMs() < 0 ? -1 : sink.firstPartMs() - nowMs;
    lastTry = new Admission.TryReport(true, outcome.code(), firstEventMs, clock.nowMs() - nowMs);
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
    answer.fail(code, runState, detail);
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
