package org.limpetring.entry;

import io.netty.buffer.ByteBuf;
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
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.entry.model.Route;
import org.limpetring.entry.model.Team;
import org.limpetring.entry.net.CallerConnection;
import org.limpetring.entry.net.EventSplitter;
import org.limpetring.entry.net.Exchange;
import org.limpetring.entry.net.ExchangeListener;
import org.limpetring.entry.net.SendFailure;
import org.limpetring.entry.place.Demand;
import org.limpetring.entry.place.Endpoint;
import org.limpetring.entry.place.RetryRule;
import org.limpetring.entry.port.CallerRequest;
import org.limpetring.entry.port.ForwardingParameters;
import org.limpetring.entry.port.ResponseHead;

/**
 * One attempt of a caller, from its arrival to its answer: waits for a place, is sent, sent again
 * where that is allowed, and answered.
 */
final class RequestFlow implements CallerConnection.RequestHandle, ExchangeListener {

  /** Largest answer of a plain service that is gathered before it goes on, in bytes. */
  private static final int MAX_GATHERED_BYTES = 8_388_608;

  /** Connect time-out; several times the longest way between failure domains. */
  private static final int CONNECT_TIMEOUT_MS = 250;

  /** The caller's deadline counts from its sending; this much of it is for the ways. */
  private static final long WAY_MS = 10;

  /** Time after the route's time-out at which an answer in progress is given up. */
  private static final long TIMEOUT_SLACK_MS = 60;

  /** A caller that came back after a refusal has less time than the route gives. */
  private static final long RETURNED_MARGIN_MS = 40;

  private static final double MS_PER_S = 1_000;

  /** Another upstream than the one named has the address, or a member that is not the head. */
  private static final int MISDIRECTED = 421;

  private static final int SERVER_ERROR = 500;

  private final EntryCore core;
  private final CallerConnection caller;
  private final CallerRequest request;
  private final RequestLog lines;
  private final ByteBuf body;
  private final long arrivedMs;
  private final Set<String> triedLives = new HashSet<>();
  private Route route;
  private @Nullable Team team;
  private String service = "";
  private Demand demand;
  private long abandonAtMs;
  private RunState runState = RunState.NOT_RUN;
  private int ranCount;
  private @Nullable Endpoint place;
  private @Nullable Exchange exchange;
  private @Nullable ResponseHead answer;
  private @Nullable EventSplitter events;
  private @Nullable ByteBuf gathered;
  private @Nullable ScheduledFuture<?> timer;
  private boolean isStreamStarted;
  private boolean isFirstSeen;
  private boolean isOver;
  private long sentMs;
  private long lastEventMs;
  private long eventsOfThisRun;

  RequestFlow(
      EntryCore core, CallerConnection caller, CallerRequest request, ByteBuf body, Route route) {
    this.core = core;
    this.caller = caller;
    this.request = request;
    this.lines = new RequestLog(core, request.id(), () -> this.route.name());
    this.body = body;
    this.route = route;
    this.arrivedMs = core.nowMs();
    this.demand = new Demand(0, 0, 0, 0, false, arrivedMs);
  }

  /** Admits the request under the configuration in force. */
  void start() {
    team = core.table().team(request.key());
    service = core.table().service(route, draw());
    long timeMs = Math.min(request.deadlineMs(), route.timeoutMs());
    abandonAtMs = arrivedMs + timeMs;
    long usedMs = Math.max(0, route.timeoutMs() - request.deadlineMs());
    boolean isCallerRetry =
        usedMs > RETURNED_MARGIN_MS
            && request.deadlineMs() < route.timeoutMs() - RETURNED_MARGIN_MS;
    demand =
        new Demand(
            core.table().priority(route, team),
            request.promptTokens(),
            arrivedMs + Math.max(0, route.objectiveMs() - WAY_MS - (isCallerRetry ? usedMs : 0)),
            abandonAtMs,
            isCallerRetry,
            arrivedMs);
    timer = core.loop().schedule(this::onTimeout, timeMs + TIMEOUT_SLACK_MS, TimeUnit.MILLISECONDS);
    core.budget().onRequest(service, arrivedMs);
    core.admit(this);
  }

  /** Even in 0 to 1, the same for all tries of this attempt. */
  private double draw() {
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

  boolean isOver() {
    return isOver;
  }

  /** Whether the upstream's life has been tried in this attempt. */
  boolean hasTried(Endpoint candidate) {
    return triedLives.contains(candidate.upstream().incarnation());
  }

  /** Whether an answer has begun to reach the caller. */
  boolean isStreamStarted() {
    return isStreamStarted;
  }

  /**
   * Checks the request against the configuration in force once more; answers it if that no longer
   * allows it.
   */
  boolean isStillAllowed() {
    Route now = core.table().match(request.host(), request.path());
    if (now == null) {
      refuse(ResultCode.NO_ROUTE, 0, "route removed");
      return false;
    }
    if (!core.table().isAllowed(now, request.key())) {
      refuse(ResultCode.BAD_KEY, 0, "key removed");
      return false;
    }
    route = now;
    team = core.table().team(request.key());
    service = core.table().service(now, draw());
    return true;
  }

  /** Sends the request to a place. */
  void send(Endpoint target) {
    long nowMs = core.nowMs();
    long leftMs = abandonAtMs - nowMs;
    if (leftMs <= 0) {
      onTimeout();
      return;
    }
    place = target;
    sentMs = nowMs;
    answer = null;
    isFirstSeen = false;
    eventsOfThisRun = 0;
    triedLives.add(target.upstream().incarnation());
    target.onSent(request.promptTokens(), nowMs);
    lines.sent(target, nowMs - arrivedMs, leftMs, ranCount);
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
    boolean isFresh = !route.isRetryable();
    runState = runState.then(RunState.UNKNOWN);
    exchange =
        core.connections()
            .send(target.upstream().address(), message, isFresh, CONNECT_TIMEOUT_MS, this);
  }

  /** Urgency at the engine: rank first; a run that goes on before new ones. */
  private int urgency() {
    int rank = Math.min(3, Math.max(0, demand.rank()));
    return Math.min(9, 2 + 2 * rank - (isStreamStarted ? 2 : 0));
  }

  // answers of the upstream

  @Override
  public boolean onHead(HttpResponse head) {
    ResponseHead read = core.format().readResponse(head);
    if (read.requestId() != null && !read.requestId().equals(id())) {
      lines.crossed(upstreamId(), read.requestId());
      return false;
    }
    answer = read;
    current().onProgress(core.nowMs());
    return true;
  }

  @Override
  public void onBody(ByteBuf data) {
    ResponseHead head = answer;
    if (head == null) {
      return;
    }
    current().onProgress(core.nowMs());
    if (isPassedEventByEvent(head)) {
      onEvents(head, data);
      return;
    }
    if (gathered == null) {
      gathered = data.alloc().heapBuffer(Math.max(256, data.readableBytes()));
    }
    if (gathered.readableBytes() + data.readableBytes() > MAX_GATHERED_BYTES) {
      cancelExchange();
      onFailure(SendFailure.GARBLED);
      return;
    }
    gathered.writeBytes(data);
  }

  private boolean isPassedEventByEvent(ResponseHead head) {
    return route.isStreaming() && head.isSuccess() && head.isSigned();
  }

  private void onEvents(ResponseHead head, ByteBuf data) {
    if (events == null) {
      events = new EventSplitter(data.alloc());
    }
    ByteBuf whole;
    try {
      whole = events.feed(data);
    } catch (IllegalStateException tooLong) {
      cancelExchange();
      onFailure(SendFailure.GARBLED);
      return;
    }
    if (whole == null) {
      return;
    }
    long nowMs = core.nowMs();
    markFirst(nowMs);
    if (eventsOfThisRun++ > 0) {
      current().onEventGap(nowMs - lastEventMs, nowMs);
    }
    lastEventMs = nowMs;
    if (!isStreamStarted) {
      isStreamStarted = true;
      caller.startStream(head.status(), head.headers());
    }
    caller.stream(whole);
  }

  private void markFirst(long nowMs) {
    if (!isFirstSeen) {
      isFirstSeen = true;
      current().onFirstEvent(request.promptTokens());
      core.metrics().firstEventMs().observe(nowMs - arrivedMs);
    }
  }

  @Override
  public void onEnd() {
    ResponseHead head = answer;
    Endpoint from = current();
    if (head == null) {
      onFailure(SendFailure.BROKEN);
      return;
    }
    long nowMs = core.nowMs();
    leavePlace();
    if (isPassedEventByEvent(head)) {
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
      ranCount++;
      from.onOutcome(false, nowMs);
      retryOrFail("unsigned answer", ResultCode.ANSWER_MISMATCH);
      return;
    }
    boolean isFailure = head.status() >= SERVER_ERROR;
    from.onOutcome(!isFailure, nowMs);
    ranCount++;
    boolean mayRetry = RetryRule.mayRetry(route, runState, ranCount) && core.nowMs() < abandonAtMs;
    if (isFailure && mayRetry) {
      retryOrPassOn("status " + head.status(), head);
      return;
    }
    passOn(head);
  }

  private void endStream(Endpoint from, ResponseHead head, long nowMs) {
    if (events != null && !events.isAtBoundary()) {
      from.onOutcome(false, nowMs);
      ranCount++;
      retryOrFail("stream ended inside an event", ResultCode.ANSWER_TRUNCATED);
      return;
    }
    from.onOutcome(true, nowMs);
    runState = RunState.RAN;
    if (!isStreamStarted) {
      caller.startStream(head.status(), head.headers());
    }
    caller.endStream();
    over(ResultCode.OK, head.status(), "stream");
  }

  private void onNotExecuted(Endpoint from, ResponseHead head, long nowMs) {
    if (ranCount == 0) {
      runState = RunState.NOT_RUN;
    }
    if (head.status() == MISDIRECTED) {
      core.onWrongUpstream(from, head.faultyUpstream());
    } else {
      from.onSaturated(nowMs);
      if (head.faultyUpstream() != null) {
        core.onMemberFault(from, head.faultyUpstream());
      }
    }
    dropGathered();
    if (core.budget().tryAcquire(service, core.daemons(), nowMs) && abandonAtMs > nowMs) {
      core.metrics().repeat("not executed, status " + head.status());
      logRetry("not executed, status " + head.status());
      core.admit(this);
      return;
    }
    fail(ResultCode.UPSTREAM_REFUSED, "status " + head.status());
  }

  /** Passes the upstream's answer on unchanged. */
  private void passOn(ResponseHead head) {
    ByteBuf content = gathered == null ? Unpooled.EMPTY_BUFFER : gathered;
    gathered = null;
    if (isStreamStarted) {
      content.release();
      caller.abort();
      over(ResultCode.UPSTREAM_ERROR, head.status(), "failed while resuming");
      return;
    }
    caller.respond(head.status(), head.headers(), content);
    over(head.isSuccess() ? ResultCode.OK : ResultCode.UPSTREAM_ERROR, head.status(), "passed on");
  }

  @Override
  public void onFailure(SendFailure failure) {
    Endpoint from = current();
    long nowMs = core.nowMs();
    leavePlace();
    from.onOutcome(false, nowMs);
    core.onSendFailure(from, failure);
    if (failure.isUnsent()) {
      if (ranCount == 0) {
        runState = RunState.NOT_RUN;
      }
    } else {
      ranCount++;
    }
    retryOrFail(
        failure.name().toLowerCase(Locale.ROOT),
        failure.isUnsent() ? ResultCode.UPSTREAM_REFUSED : ResultCode.UPSTREAM_LOST);
  }

  /** The group that runs the request stands still; another takes over if that is allowed. */
  void onGroupLost(String reason) {
    if (isOver || exchange == null || !RetryRule.mayMove(route, ranCount)) {
      return;
    }
    cancelExchange();
    leavePlace();
    ranCount++;
    retryOrFail(reason, ResultCode.UPSTREAM_LOST);
  }

  private void retryOrPassOn(String reason, ResponseHead head) {
    if (!core.budget().tryAcquire(service, core.daemons(), core.nowMs())) {
      passOn(head);
      return;
    }
    dropGathered();
    core.metrics().repeat(reason);
    logRetry(reason);
    core.admit(this);
  }

  private void retryOrFail(String reason, ResultCode code) {
    dropGathered();
    if (events != null) {
      events.dropPartial();
    }
    boolean isAllowed = RetryRule.mayRetry(route, runState, ranCount) && core.nowMs() < abandonAtMs;
    if (isAllowed && core.budget().tryAcquire(service, core.daemons(), core.nowMs())) {
      core.metrics().repeat(reason);
      logRetry(reason);
      core.admit(this);
      return;
    }
    fail(code, reason);
  }

  private void logRetry(String reason) {
    lines.retried(reason, ranCount, runState, events == null ? null : events.lastId());
  }

  // ends

  /** Refuses the request as not run. */
  void refuse(ResultCode code, long retryAfterMs, String reason) {
    if (runState != RunState.NOT_RUN || isStreamStarted) {
      fail(ResultCode.UPSTREAM_LOST, reason);
      return;
    }
    HttpHeaders headers = new DefaultHttpHeaders(false);
    if (retryAfterMs > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_S));
    }
    caller.respond(code.httpStatus(), headers, text(code));
    lines.refused(code, reason, retryAfterMs, core.nowMs() - arrivedMs);
    over(code, code.httpStatus(), null);
  }

  /** Ends the request in a failure that says nothing, or only the truth, of its run. */
  private void fail(ResultCode code, String reason) {
    if (runState == RunState.NOT_RUN && !isStreamStarted) {
      refuse(
          code.runState() == RunState.NOT_RUN ? code : ResultCode.UPSTREAM_REFUSED,
          core.retryAfterMs(),
          reason);
      return;
    }
    if (isStreamStarted) {
      caller.abort();
    } else {
      ResultCode stated = code.runState() == RunState.NOT_RUN ? ResultCode.UPSTREAM_LOST : code;
      caller.respond(stated.httpStatus(), null, text(stated));
    }
    over(code, isStreamStarted ? 0 : code.httpStatus(), reason);
  }

  private static ByteBuf text(ResultCode code) {
    return Unpooled.wrappedBuffer(
        (code.number() + " " + code.meaning() + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private void onTimeout() {
    if (isOver) {
      return;
    }
    boolean wasSent = exchange != null;
    cancelExchange();
    leavePlace();
    core.forget(this);
    fail(wasSent ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.QUEUE_TIMEOUT, "time is over");
  }

  @Override
  public void onCallerDisconnected() {
    if (isOver) {
      return;
    }
    cancelExchange();
    leavePlace();
    core.forget(this);
    lines.left(core.nowMs() - arrivedMs, runState);
    over(ResultCode.CANCELLED, 0, null);
  }

  @Override
  public void onWritable(boolean isWritable) {
    if (exchange != null) {
      exchange.setReading(isWritable);
    }
  }

  private void cancelExchange() {
    if (exchange != null) {
      exchange.cancel();
      exchange = null;
    }
  }

  private void leavePlace() {
    exchange = null;
    Endpoint left = place;
    if (left == null) {
      return;
    }
    place = null;
    if (!isFirstSeen) {
      left.onFirstEvent(request.promptTokens());
    }
    left.onEnded();
    core.onPlaceFreed();
  }

  @Nullable Endpoint place() {
    return place;
  }

  private Endpoint current() {
    Endpoint now = place;
    if (now == null) {
      throw new IllegalStateException("request " + id() + " has no place");
    }
    return now;
  }

  private String upstreamId() {
    return place == null ? "" : place.upstream().id();
  }

  private void dropGathered() {
    if (gathered != null) {
      gathered.release();
      gathered = null;
    }
  }

  private void over(ResultCode code, int status, @Nullable String how) {
    isOver = true;
    if (timer != null) {
      timer.cancel(false);
    }
    dropGathered();
    if (events != null) {
      events.release();
      events = null;
    }
    body.release();
    long nowMs = core.nowMs();
    core.metrics().ended(code, nowMs - arrivedMs);
    if (how != null) {
      lines.ended(code, status, how, ranCount, runState, nowMs - arrivedMs, nowMs - sentMs);
    }
    core.onFlowOver(this);
  }
}
