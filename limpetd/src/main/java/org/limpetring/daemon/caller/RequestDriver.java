package org.limpetring.daemon.caller;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.base.Metrics;
import org.limpetring.base.Outcome;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.engine.AnswerSink;
import org.limpetring.engine.EnginePort;
import org.limpetring.engine.EngineRequest;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.request.RequestEffect;
import org.limpetring.routing.request.RequestEvent;
import org.limpetring.routing.request.RequestMachine;
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
  private final DaemonState state;
  private final RequestMachine machine;
  private final CallerRequest request;
  private final CallerAnswer answer;
  private final Route route;
  private final Pool pool;
  private final long deadlineAtMs;
  private String detail = "";
  private long dispatchedMs;
  private boolean completed;

  RequestDriver(
      Clock clock,
      EnginePort engine,
      Admission admission,
      Claims claims,
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
    while (!effects.isEmpty()) {
      RequestEvent event = perform(effects.removeFirst());
      if (event != null) {
        List<RequestEffect> next = machine.on(event, clock.nowMs());
        effects.addAll(next);
      }
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
    if (effect instanceof RequestEffect.Release release) {
      admission.release(release.group(), clock.nowMs() - dispatchedMs, completed);
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
    Admission.Ask ask =
        new Admission.Ask(
            pool, request.caller(), admit.excluded(), PromptPrefix.hash(request), deadlineAtMs);
    Admission.Result result = admission.admit(ask);
    if (result instanceof Admission.Result.Admitted admitted) {
      return new RequestEvent.Admitted(admitted.group());
    }
    return new RequestEvent.Refused(((Admission.Result.Refused) result).code());
  }

  private RequestEvent dispatch(RequestEffect.Dispatch dispatch) throws IOException {
    ServingGroup group = dispatch.group();
    long nowMs = clock.nowMs();
    if (!state.isFresh(nowMs) || !state.serves(group, nowMs)) {
      return new RequestEvent.GroupGone();
    }
    if (nowMs >= deadlineAtMs) {
      return new RequestEvent.DeadlinePassed();
    }
    dispatchedMs = nowMs;
    Outcome outcome = send(group, dispatch.resumeOffset(), deadlineAtMs - nowMs);
    detail = describe(outcome);
    completed = outcome.code() == ResultCode.OK;
    if (completed) {
      answer.finish();
    } else {
      Metrics.RETRIES.labelValues(outcome.code().name()).inc();
      LogEvent.REQUEST_RETRIED.log(LOGGER, request.id(), detail);
    }
    return new RequestEvent.TryEnded(outcome, answer.deliveredEvents());
  }

  private Outcome send(ServingGroup group, int resumeOffset, long leftMs) {
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
    DeadlineSink sink = new DeadlineSink(answer.sink(group), clock, deadlineAtMs);
    Outcome outcome = engine.send(group.entryAddress(), sent, sink);
    if (sink.isLate() && outcome.code() == ResultCode.CANCELLED) {
      return new Outcome.Unknown(ResultCode.UPSTREAM_TIMEOUT, "deadline passed");
    }
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

  /** Ends a try whose answer goes on after the deadline. */
  private static final class DeadlineSink implements AnswerSink {

    private final AnswerSink sink;
    private final Clock clock;
    private final long deadlineAtMs;
    private boolean late;

    DeadlineSink(AnswerSink sink, Clock clock, long deadlineAtMs) {
      this.sink = sink;
      this.clock = clock;
      this.deadlineAtMs = deadlineAtMs;
    }

    boolean isLate() {
      return late;
    }

    @Override
    public void begin(int status, String contentType) throws CallerGoneException {
      sink.begin(status, contentType);
    }

    @Override
    public void part(byte[] bytes) throws CallerGoneException {
      if (clock.nowMs() > deadlineAtMs) {
        late = true;
        throw new CallerGoneException(new IOException("deadline passed"));
      }
      sink.part(bytes);
    }
  }
}
