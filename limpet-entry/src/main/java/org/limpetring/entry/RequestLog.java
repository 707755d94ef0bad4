package org.limpetring.entry;

import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.LogEvent;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.entry.balancing.Endpoint;
import org.limpetring.entry.port.CallerRequest;

/** Log events of one request: one per decision, all with the request id. */
final class RequestLog {

  private final EntryCore core;
  private final String requestId;
  private final String promptParts;
  private final Supplier<String> routeName;

  RequestLog(EntryCore core, CallerRequest request, Supplier<String> routeName) {
    this.core = core;
    this.requestId = request.id();
    this.promptParts = String.join(",", request.promptParts());
    this.routeName = routeName;
  }

  private long configVersion() {
    return core.table().config().version();
  }

  /** The request was sent; {@code previousRuns} is the number of runs before this one. */
  void sent(Endpoint target, long waitedMs, long leftMs, int previousRuns) {
    core.log()
        .write(
            LogEvent.REQUEST_SENT,
            "request",
            requestId,
            "route",
            routeName.get(),
            "upstream",
            target.upstream().id(),
            "place",
            target.key(),
            "inFlight",
            target.inFlight(),
            "waitedMs",
            waitedMs,
            "leftMs",
            leftMs,
            "run",
            previousRuns,
            "parts",
            promptParts,
            "config",
            configVersion());
  }

  /** The connection to the upstream broke after the request was sent. */
  void interrupted(Endpoint from, long eventsInRun, long afterMs, long coldLeftMs) {
    core.log()
        .write(
            LogEvent.REQUEST_INTERRUPTED,
            "request",
            requestId,
            "upstream",
            from.upstream().incarnation(),
            "parts",
            promptParts,
            "eventsInRun",
            eventsInRun,
            "afterMs",
            afterMs,
            "inFlight",
            from.inFlight(),
            "coldLeftMs",
            coldLeftMs);
  }

  /** The upstream's response carries the id of another request. */
  void mismatched(String upstreamId, String respondedRequestId) {
    core.log()
        .write(
            LogEvent.ANSWER_CROSSED,
            "request",
            requestId,
            "upstream",
            upstreamId,
            "answers",
            respondedRequestId);
  }

  /** The request is retried. */
  void retried(String reason, int runCount, RunState state, @Nullable String lastEventId) {
    core.log()
        .write(
            LogEvent.REQUEST_RETRIED,
            "request",
            requestId,
            "reason",
            reason,
            "ran",
            runCount,
            "state",
            state.label(),
            "lastEvent",
            lastEventId == null ? "" : lastEventId);
  }

  /** The request was rejected as not run. */
  void rejected(ResultCode code, String reason, long retryAfterMs, long waitedMs) {
    core.log()
        .write(
            LogEvent.REQUEST_REFUSED,
            "request",
            requestId,
            "code",
            code.number(),
            "reason",
            reason,
            "retryAfterMs",
            retryAfterMs,
            "waitedMs",
            waitedMs,
            "config",
            configVersion());
  }

  /** The caller disconnected before the response was complete. */
  void callerLeft(long afterMs, RunState state) {
    core.log()
        .write(
            LogEvent.REQUEST_LEFT,
            "request",
            requestId,
            "afterMs",
            afterMs,
            "state",
            state.label());
  }

  /** The request succeeded, or failed after it was sent. */
  void ended(
      ResultCode code,
      int status,
      String outcome,
      int runCount,
      RunState state,
      long tookMs,
      long lastAttemptMs) {
    core.log()
        .write(
            code == ResultCode.OK ? LogEvent.REQUEST_ANSWERED : LogEvent.REQUEST_FAILED,
            "request",
            requestId,
            "code",
            code.number(),
            "status",
            status,
            "how",
            outcome,
            "ran",
            runCount,
            "state",
            state.label(),
            "tookMs",
            tookMs,
            "lastTryMs",
            lastAttemptMs);
  }
}
