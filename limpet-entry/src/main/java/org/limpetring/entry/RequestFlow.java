package org.limpetring.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.entry.balancing.Demand;
import org.limpetring.entry.balancing.Endpoint;
import org.limpetring.entry.balancing.RefusedRequests;
import org.limpetring.entry.balancing.RetryRule;
import org.limpetring.entry.model.Route;
import org.limpetring.entry.model.Team;
import org.limpetring.entry.net.BufferBudget;
import org.limpetring.entry.net.CallerConnection;
import org.limpetring.entry.net.EventSplitter;
import org.limpetring.entry.net.Exchange;
import org.limpetring.entry.net.ExchangeListener;
import org.limpetring.entry.net.SendFailure;
import org.limpetring.entry.poison.RequestTraits;
import org.limpetring.entry.port.CallerRequest;
import org.limpetring.entry.port.ForwardingParameters;
import org.limpetring.entry.port.ResponseHead;

/**
 * Lifecycle of one caller request from arrival to response: waits for an endpoint, is sent to it,
 * is retried where the rules allow, and is answered.
 */
final class RequestFlow implements CallerConnection.RequestHandle, ExchangeListener {

  /** Several times the longest network delay between failure domains. */
  private static final int CONNECT_TIMEOUT_MS = 250;

  /** Network delay to allow for: the caller's objective counts from the time it sends. */
  private static final long NETWORK_DELAY_MS = 10;

  /** Time after the deadline at which a response in progress is abandoned. */
  private static final long TIMEOUT_SLACK_MS = 60;

  private static final double MS_PER_S = 1_000;

  /** HTTP status: the address belongs to another upstream, or to a member that is not the head. */
  private static final int MISDIRECTED = 421;

  private static final int SERVER_ERROR = 500;

  private final EntryCore core;
  private final CallerConnection caller;
  private final CallerRequest request;
  private final RequestLog requestLog;
  private final ByteBuf body;
  private final BufferBudget.Account buffered;
  private final ResponseBuffer responseBody;
  private final long arrivedMs;
  private final Set<String> triedIncarnations = new HashSet<>();
  private Route route;
  private @Nullable Team team;
  private String service = "";
  private Demand demand;
  private long abandonAtMs;
  private RunState runState = RunState.NOT_RUN;
  private int runCount;
  private @Nullable Endpoint endpoint;
  private @Nullable Exchange exchange;
  private @Nullable ResponseHead responseHead;
  private @Nullable EventSplitter events;
  private @Nullable ScheduledFuture<?> timer;
  private long fingerprint;
  private boolean isStreamStarted;
  private boolean isFirstEventSeen;
  private boolean isEnded;
  private double predictedMs;
  private boolean isTeamCounted;
  private boolean isBeyondShare;
  private boolean isGapTooLong;
  private long firstEventAtMs = Long.MAX_VALUE;
  private long sentMs;
  private double declaredFirstEventMs;
  private long lastEventMs;
  private long eventsInRun;
  private boolean hasResponseBegun;
  private @Nullable List<String> traits;

  RequestFlow(
      EntryCore core, CallerConnection caller, CallerRequest request, ByteBuf body, Route route) {
    this.core = core;
    this.caller = caller;
    this.request = request;
    this.requestLog = new RequestLog(core, request, () -> this.route.name());
    this.body = body;
    this.buffered = core.callerMemory().open(this::onBufferEvicted);
    this.responseBody = new ResponseBuffer(buffered);
    this.route = route;
    this.arrivedMs = core.nowMs();
    this.demand = new Demand(0, 0, 0, 0, false, arrivedMs);
  }

  /** Admits the request under the current configuration. */
  void start() {
    team = core.table().team(request.key());
    service = core.table().service(route, routingSample());
    RefusedRequests refused = core.refusedRequests();
    RefusedRequests.Sighting sighting =
        refused.isEmpty() ? RefusedRequests.Sighting.NEW : refused.sight(fingerprint(), arrivedMs);
    if (sighting == RefusedRequests.Sighting.EARLY) {
      reject(
          ResultCode.LIMIT_REACHED,
          refused.leftMs(fingerprint(), arrivedMs),
          "repeated before its retry delay");
      return;
    }
    long allowedMs = Math.min(request.deadlineMs(), route.timeoutMs());
    abandonAtMs = arrivedMs + allowedMs;
    boolean isCallerRetry =
        core.isCallerRetry(route, request.deadlineMs()) || sighting == RefusedRequests.Sighting.DUE;
    long onTimeMs = isCallerRetry ? 0 : route.objectiveMs() - NETWORK_DELAY_MS;
    demand =
        new Demand(
            core.table().priority(route, team),
            request.promptTokens(),
            arrivedMs + Math.max(0, onTimeMs),
            abandonAtMs,
            isCallerRetry,
            arrivedMs);
    timer =
        core.loop().schedule(this::onTimeout, allowedMs + TIMEOUT_SLACK_MS, TimeUnit.MILLISECONDS);
    core.onCallerRequest(service, request.model());
    core.dispatcher().admitNew(this);
  }

  /** Identifies repeats of this request; 0 if it has nothing that tells it from others. */
  private long fingerprint() {
    if (fingerprint == 0) {
      List<String> parts = request.promptParts();
      if (!parts.isEmpty()) {
        fingerprint =
            RefusedRequests.fingerprint(route.name(), "", parts.get(parts.size() - 1).hashCode());
      } else if (body.isReadable()) {
        fingerprint =
            RefusedRequests.fingerprint(
                route.name(), request.key() + ' ' + request.uri(), ByteBufUtil.hashCode(body));
      }
    }
    return fingerprint;
  }

  /** Called before the request is refused for want of capacity. */
  void rememberRefusal(long retryAfterMs) {
    long known = fingerprint();
    // after a run the caller gets an error, which has no retry delay
    if (known != 0 && runState == RunState.NOT_RUN) {
      core.refusedRequests().onRefused(known, retryAfterMs, abandonAtMs, core.nowMs());
    }
  }

  /** Uniform in [0, 1), derived from the request id and so equal for all tries. */
  private double routingSample() {
    return (request.id().hashCode() & 0x7fff_ffff) / (double) 0x8000_0000L;
  }

  String id() {
    return request.id();
  }

  String service() {
    return service;
  }

  Route route() {
    return route;
  }

  Demand demand() {
    return demand;
  }

  @Nullable String model() {
    return request.model();
  }

  boolean isEnded() {
    return isEnded;
  }

  /** Counts the request towards its team's demand when it is first admitted. */
  void countForTeam() {
    if (!isTeamCounted) {
      isTeamCounted = true;
      isBeyondShare = core.teamLoad().onRequest(core.table(), service, model(), team);
    }
  }

  /** Whether the request is beyond its team's share of a pool that is short of slots. */
  boolean isBeyondShare() {
    return isBeyondShare;
  }

  /** Whether the request was already sent to the upstream's current incarnation. */
  boolean hasTried(Endpoint candidate) {
    return triedIncarnations.contains(candidate.upstream().incarnation());
  }

  /** Whether the response stream to the caller has started. */
  boolean isStreamStarted() {
    return isStreamStarted;
  }

  /**
   * Checks the request against the current configuration again; rejects it and returns false if it
   * is no longer allowed.
   */
  boolean revalidate() {
    Route now = core.table().match(request.host(), request.path());
    if (now == null) {
      reject(ResultCode.NO_ROUTE, 0, "route removed");
      return false;
    }
    if (!core.table().isAllowed(now, request.key())) {
      reject(ResultCode.BAD_KEY, 0, "key removed");
      return false;
    }
    route = now;
    team = core.table().team(request.key());
    service = core.table().service(now, routingSample());
    return !isQuarantined();
  }

  private boolean isQuarantined() {
    Quarantine quarantine = core.quarantine();
    long leftMs = quarantine.isEmpty() ? 0 : quarantine.leftMs(traits());
    if (leftMs > 0) {
      reject(ResultCode.QUARANTINED, leftMs, "quarantined trait");
    }
    return leftMs > 0;
  }

  /** What this request shares with others that may crash an upstream. */
  private List<String> traits() {
    List<String> known = traits;
    if (known == null) {
      String model = request.model();
      known =
          RequestTraits.of(
              model == null ? service : model,
              request.promptParts(),
              team == null ? null : team.name(),
              request.method() + " " + request.uri(),
              body.nioBuffer());
      traits = known;
    }
    return known;
  }

  /** Sends the request to an endpoint. */
  void send(Endpoint target) {
    long nowMs = core.nowMs();
    long leftMs = abandonAtMs - nowMs;
    if (leftMs <= 0) {
      onTimeout();
      return;
    }
    endpoint = target;
    sentMs = nowMs;
    responseHead = null;
    isFirstEventSeen = false;
    eventsInRun = 0;
    if (triedIncarnations.isEmpty()) {
      core.teamLoad().onAdmitted(core.table(), service, model(), team);
    }
    triedIncarnations.add(target.upstream().incarnation());
    predictedMs = target.firstEventMs(request.promptTokens(), nowMs);
    declaredFirstEventMs = target.declaredFirstEventMs(request.promptTokens(), nowMs);
    target.onSent(request.promptTokens(), nowMs);
    requestLog.sent(target, nowMs - arrivedMs, leftMs, runCount);
    String lastId = events == null ? null : events.lastId();
    HttpHeaders headers =
        core.format()
            .upstreamHeaders(
                request,
                new ForwardingParameters(
                    target.upstream().id(),
                    team == null ? null : team.name(),
                    leftMs,
                    urgency(),
                    lastId != null ? lastId : request.lastEventId()));
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            body.retainedDuplicate(),
            headers,
            EmptyHttpHeaders.INSTANCE);
    boolean hasBody = body.isReadable() || request.method().equals(HttpMethod.POST);
    if (hasBody) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    boolean isNewConnection = !route.isRetryable();
    runState = runState.then(RunState.UNKNOWN);
    exchange =
        core.connections()
            .send(target.upstream().address(), message, isNewConnection, CONNECT_TIMEOUT_MS, this);
  }

  /** Urgency for the engine: by rank, and a resumed stream before new requests. */
  private int urgency() {
    int rank = Math.min(3, Math.max(0, demand.rank()));
    return Math.min(9, 2 + 2 * rank - (isStreamStarted ? 2 : 0));
  }

  // responses of the upstream

  @Override
  public boolean isStillWanted() {
    return endpoint != null && core.hasEndpoint(endpoint.key());
  }

  @Override
  public boolean onHead(HttpResponse head) {
    ResponseHead parsedHead = core.format().readResponse(head);
    String responseId = parsedHead.requestId();
    // without an id, a late copy of an earlier response can't be told from this request's response
    boolean isOwn =
        responseId == null ? exchange != null && !exchange.isReused() : responseId.equals(id());
    if (parsedHead.isLeaving() && parsedHead.status() != MISDIRECTED) {
      core.onLeaving(currentEndpoint().upstream());
    }
    if (!isOwn) {
      requestLog.mismatched(upstreamId(), responseId == null ? "" : responseId);
      return false;
    }
    responseHead = parsedHead;
    currentEndpoint().onProgress(core.nowMs());
    core.onPause(currentEndpoint(), parsedHead.pause());
    if (responseId != null && parsedHead.status() != MISDIRECTED) {
      core.onRateLimit(currentEndpoint(), parsedHead.rateLimit(), sentMs);
    }
    return true;
  }

  @Override
  public void onBody(ByteBuf data) {
    ResponseHead head = responseHead;
    if (head == null) {
      return;
    }
    currentEndpoint().onProgress(core.nowMs());
    if (isRelayedAsEvents(head)) {
      onEvents(head, data);
      return;
    }
    switch (responseBody.append(data)) {
      case OK -> {}
      case TOO_LONG -> {
        cancelExchange();
        onFailure(SendFailure.GARBLED);
      }
      case NO_ROOM -> {
        cancelExchange();
        onBufferLost();
      }
    }
  }

  /** A smaller buffer needs the room; the request itself is moved after that one's turn. */
  private void onBufferEvicted() {
    cancelExchange();
    responseBody.clear();
    if (events != null) {
      events.dropPartial();
    }
    core.loop().execute(this::onBufferLost);
  }

  private void onBufferLost() {
    if (isEnded || endpoint == null) {
      return;
    }
    currentEndpoint().onOutcome(false, core.nowMs());
    releaseEndpoint();
    runCount++;
    retryOrFail("response buffers full", ResultCode.UPSTREAM_LOST);
  }

  private boolean isRelayedAsEvents(ResponseHead head) {
    return route.isStreaming() && head.isSuccess() && head.isSigned();
  }

  private void onEvents(ResponseHead head, ByteBuf data) {
    if (events == null) {
      events = new EventSplitter(data.alloc());
    }
    ByteBuf completeEvents;
    try {
      completeEvents = events.feed(data);
    } catch (IllegalStateException tooLong) {
      cancelExchange();
      onFailure(SendFailure.GARBLED);
      return;
    }
    if (completeEvents != null) {
      forwardEvents(head, completeEvents);
    }
    if (events.isOutOfOrder()) {
      cancelExchange();
      onFailure(SendFailure.GARBLED);
      return;
    }
    if (!buffered.tryHold(events.bufferedBytes())) {
      cancelExchange();
      onBufferLost();
    }
  }

  private void forwardEvents(ResponseHead head, ByteBuf completeEvents) {
    long nowMs = core.nowMs();
    markFirstEvent(nowMs);
    if (eventsInRun++ > 0) {
      currentEndpoint().onEventGap(nowMs - lastEventMs, nowMs);
    }
    if (isStreamStarted && route.gapObjectiveMs() > 0) {
      isGapTooLong |= nowMs - lastEventMs > route.gapObjectiveMs();
    }
    lastEventMs = nowMs;
    if (!isStreamStarted) {
      isStreamStarted = true;
      caller.startStream(head.status(), head.headers());
    }
    caller.stream(completeEvents);
  }

  private void markFirstEvent(long nowMs) {
    if (!isFirstEventSeen) {
      isFirstEventSeen = true;
      firstEventAtMs = Math.min(firstEventAtMs, nowMs);
      onResponseBegun();
      currentEndpoint().onFirstEvent(request.promptTokens());
      if (triedIncarnations.size() == 1) {
        core.fleetDemand().onFirstEvent(currentEndpoint(), demand);
      }
      core.onPacedResponse(currentEndpoint(), sentMs, predictedMs, demand.onTimeDeadlineMs());
      currentEndpoint().onFirstEventObserved(nowMs - sentMs - declaredFirstEventMs, nowMs);
      core.metrics().firstEventMs().observe(nowMs - arrivedMs);
    }
  }

  @Override
  public void onEnd() {
    ResponseHead head = responseHead;
    Endpoint from = currentEndpoint();
    if (head == null) {
      onFailure(SendFailure.BROKEN);
      return;
    }
    long nowMs = core.nowMs();
    releaseEndpoint();
    if (isRelayedAsEvents(head)) {
      endStream(from, head, nowMs);
      return;
    }
    if (head.isNotExecuted() || head.status() == MISDIRECTED) {
      onNotExecuted(from, head, nowMs);
      return;
    }
    runState = RunState.RAN;
    boolean isUnusable = head.isSuccess() && !head.isSigned();
    if (isUnusable) {
      runCount++;
      from.onOutcome(false, nowMs);
      retryOrFail("unsigned answer", ResultCode.ANSWER_MISMATCH);
      return;
    }
    boolean isFailure = head.status() >= SERVER_ERROR;
    from.onOutcome(!isFailure, nowMs);
    if (!isFailure) {
      onResponseBegun();
      core.onPacedResponse(from, sentMs, predictedMs, demand.onTimeDeadlineMs());
    }
    runCount++;
    boolean mayRetry = RetryRule.mayRetry(route, runState, runCount) && core.nowMs() < abandonAtMs;
    if (isFailure && mayRetry) {
      retryOrForward("status " + head.status(), head);
      return;
    }
    forwardResponse(head);
  }

  private void endStream(Endpoint from, ResponseHead head, long nowMs) {
    if (events != null && !events.isAtBoundary()) {
      from.onOutcome(false, nowMs);
      runCount++;
      retryOrFail("stream ended inside an event", ResultCode.ANSWER_TRUNCATED);
      return;
    }
    from.onOutcome(true, nowMs);
    core.fleetDemand().onServed(from, nowMs - sentMs);
    runState = RunState.RAN;
    if (!isStreamStarted) {
      caller.startStream(head.status(), head.headers());
    }
    caller.endStream();
    finish(ResultCode.OK, head.status(), "stream");
  }

  private void onNotExecuted(Endpoint from, ResponseHead head, long nowMs) {
    if (runCount == 0) {
      runState = RunState.NOT_RUN;
    }
    if (head.status() == MISDIRECTED) {
      core.onMisdirected(from, head.faultyUpstream());
    } else {
      from.onSaturated(nowMs);
      core.upstreamPaces().onRefused(from, sentMs);
      if (head.faultyUpstream() != null) {
        core.onMemberFault(from, head.faultyUpstream());
      }
    }
    responseBody.clear();
    if (core.retryBudget().tryAcquire(service, core.daemonCount(), nowMs) && abandonAtMs > nowMs) {
      core.metrics().retry("not executed, status " + head.status());
      logRetry("not executed, status " + head.status());
      core.dispatcher().admit(this);
      return;
    }
    fail(ResultCode.UPSTREAM_REFUSED, "status " + head.status());
  }

  /** Forwards the upstream's response unchanged. */
  private void forwardResponse(ResponseHead head) {
    ByteBuf content = responseBody.take();
    if (isStreamStarted) {
      content.release();
      caller.abort();
      finish(ResultCode.UPSTREAM_ERROR, head.status(), "failed while resuming");
      return;
    }
    caller.respond(head.status(), head.headers(), content);
    finish(
        head.isSuccess() ? ResultCode.OK : ResultCode.UPSTREAM_ERROR,
        head.status(),
        "response forwarded");
  }

  @Override
  public void onFailure(SendFailure failure) {
    if (failure == SendFailure.WITHDRAWN) {
      onWithdrawn();
      return;
    }
    Endpoint from = currentEndpoint();
    long nowMs = core.nowMs();
    releaseEndpoint();
    from.onOutcome(false, nowMs);
    core.upstreamPaces().onBroken(from, sentMs);
    core.onSendFailure(from, failure);
    if (failure == SendFailure.BROKEN) {
      onInterrupted(from, nowMs);
    }
    if (failure.isUnsent()) {
      if (runCount == 0) {
        runState = RunState.NOT_RUN;
      }
    } else {
      runCount++;
    }
    retryOrFail(
        failure.name().toLowerCase(Locale.ROOT),
        failure.isUnsent() ? ResultCode.UPSTREAM_REFUSED : ResultCode.UPSTREAM_LOST);
  }

  /** The endpoint left while the connection was made; nothing has arrived there. */
  private void onWithdrawn() {
    releaseEndpoint();
    if (runCount == 0) {
      runState = RunState.NOT_RUN;
    }
    logRetry("endpoint left");
    core.dispatcher().admit(this);
  }

  private void onInterrupted(Endpoint from, long nowMs) {
    requestLog.interrupted(from, eventsInRun, nowMs - sentMs, core.coldLeftMs(from));
    core.metrics().interrupted(hasResponseBegun);
    if (!hasResponseBegun) {
      core.quarantine().onInterrupted(from, traits());
    }
  }

  /** The upstream has begun to answer, so this request is not what crashes upstreams. */
  private void onResponseBegun() {
    hasResponseBegun = true;
    core.quarantine().onAnswering(traits());
  }

  /** The group that runs the request is lost; moves the request to another if the rules allow. */
  void onGroupLost(String reason) {
    if (isEnded || exchange == null || !RetryRule.mayMove(route, runCount)) {
      return;
    }
    cancelExchange();
    releaseEndpoint();
    runCount++;
    retryOrFail(reason, ResultCode.UPSTREAM_LOST);
  }

  private void retryOrForward(String reason, ResponseHead head) {
    if (!core.retryBudget().tryAcquire(service, core.daemonCount(), core.nowMs())) {
      forwardResponse(head);
      return;
    }
    responseBody.clear();
    core.metrics().retry(reason);
    logRetry(reason);
    core.dispatcher().admit(this);
  }

  private void retryOrFail(String reason, ResultCode code) {
    responseBody.clear();
    if (events != null) {
      events.resume();
    }
    boolean isAllowed =
        RetryRule.mayRetry(route, runState, runCount)
            && core.nowMs() < abandonAtMs
            && (hasResponseBegun || runCount == 0 || core.quarantine().mayRetry(traits()));
    if (isAllowed && core.retryBudget().tryAcquire(service, core.daemonCount(), core.nowMs())) {
      core.metrics().retry(reason);
      logRetry(reason);
      core.dispatcher().admit(this);
      return;
    }
    fail(code, reason);
  }

  private void logRetry(String reason) {
    requestLog.retried(reason, runCount, runState, events == null ? null : events.lastId());
  }

  // completion

  /** Rejects the request as not run. */
  void reject(ResultCode code, long retryAfterMs, String reason) {
    if (runState != RunState.NOT_RUN || isStreamStarted) {
      fail(ResultCode.UPSTREAM_LOST, reason);
      return;
    }
    HttpHeaders headers = new DefaultHttpHeaders(false);
    if (retryAfterMs > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_S));
    }
    caller.respond(code.httpStatus(), headers, errorBody(code));
    requestLog.rejected(code, reason, retryAfterMs, core.nowMs() - arrivedMs);
    finish(code, code.httpStatus(), null);
  }

  /** Fails the request; reports it as not run only if it certainly did not run. */
  private void fail(ResultCode code, String reason) {
    if (runState == RunState.NOT_RUN && !isStreamStarted) {
      reject(
          code.runState() == RunState.NOT_RUN ? code : ResultCode.UPSTREAM_REFUSED,
          core.retryAfterMs(),
          reason);
      return;
    }
    if (isStreamStarted) {
      caller.abort();
    } else {
      ResultCode reportedCode =
          code.runState() == RunState.NOT_RUN ? ResultCode.UPSTREAM_LOST : code;
      caller.respond(reportedCode.httpStatus(), null, errorBody(reportedCode));
    }
    finish(code, isStreamStarted ? 0 : code.httpStatus(), reason);
  }

  private static ByteBuf errorBody(ResultCode code) {
    return Unpooled.wrappedBuffer(
        (code.number() + " " + code.meaning() + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private void onTimeout() {
    endNow(ResultCode.UPSTREAM_TIMEOUT, ResultCode.QUEUE_TIMEOUT, "deadline exceeded");
  }

  /** The process ends before the request does. */
  void endWithProcess() {
    endNow(ResultCode.UPSTREAM_LOST, ResultCode.STOPPING, "grace period spent");
  }

  private void endNow(ResultCode codeIfSent, ResultCode codeIfWaiting, String reason) {
    if (isEnded) {
      return;
    }
    boolean wasSent = exchange != null;
    cancelExchange();
    releaseEndpoint();
    core.dispatcher().dequeue(this);
    fail(wasSent ? codeIfSent : codeIfWaiting, reason);
  }

  @Override
  public void onCallerDisconnected() {
    if (isEnded) {
      return;
    }
    cancelExchange();
    releaseEndpoint();
    core.dispatcher().dequeue(this);
    requestLog.callerLeft(core.nowMs() - arrivedMs, runState);
    finish(ResultCode.CANCELLED, 0, null);
  }

  @Override
  public void onWritable(boolean isWritable) {
    if (exchange != null) {
      exchange.setReading(isWritable);
    }
  }

  @Override
  public void onMemoryNeeded() {
    endNow(ResultCode.UPSTREAM_LOST, ResultCode.QUEUE_FULL, "memory for callers full");
  }

  private void cancelExchange() {
    if (exchange != null) {
      exchange.cancel();
      exchange = null;
    }
  }

  private void releaseEndpoint() {
    exchange = null;
    Endpoint released = endpoint;
    if (released == null) {
      return;
    }
    endpoint = null;
    if (!isFirstEventSeen) {
      released.onFirstEvent(request.promptTokens());
    }
    released.onEnded();
    core.dispatcher().onEndpointFreed();
  }

  @Nullable Endpoint endpoint() {
    return endpoint;
  }

  private Endpoint currentEndpoint() {
    Endpoint now = endpoint;
    if (now == null) {
      throw new IllegalStateException("request " + id() + " has no endpoint");
    }
    return now;
  }

  private String upstreamId() {
    return endpoint == null ? "" : endpoint.upstream().id();
  }

  private void finish(ResultCode code, int status, @Nullable String outcome) {
    isEnded = true;
    if (timer != null) {
      timer.cancel(false);
    }
    responseBody.clear();
    if (events != null) {
      events.release();
      events = null;
    }
    body.release();
    long nowMs = core.nowMs();
    core.metrics().ended(code, nowMs - arrivedMs);
    if (isTeamCounted) {
      boolean isOnTime = demand.isOnTimeAt(Math.min(firstEventAtMs, nowMs)) && !isGapTooLong;
      core.teamLoad().onEnded(team, code, isOnTime);
    }
    if (outcome != null) {
      requestLog.ended(
          code, status, outcome, runCount, runState, nowMs - arrivedMs, nowMs - sentMs);
    }
    core.onFlowEnded(this);
  }
}
