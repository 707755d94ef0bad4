package org.limpetring.entry;

import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.LogEvent;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.entry.place.Endpoint;

/** Log lines of one request: one for each decision that touches it, all with its id. */
final class RequestLog {

  private final EntryCore core;
  private final String requestId;
  private final Supplier<String> routeName;

  RequestLog(EntryCore core, String requestId, Supplier<String> routeName) {
    this.core = core;
    this.requestId = requestId;
    this.routeName = routeName;
  }

  private long configVersion() {
    return core.table().config().version();
  }

  /** The request was sent; {@code run} is 0 for its first try. */
  void sent(Endpoint target, long waitedMs, long leftMs, int run) {
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
            run,
            "config",
            configVersion());
  }

  /** An upstream answered another request than this one. */
  void crossed(String upstreamId, String answeredId) {
    core.log()
        .write(
            LogEvent.ANSWER_CROSSED,
            "request",
            requestId,
            "upstream",
            upstreamId,
            "answers",
            answeredId);
  }

  /** The request is sent once more. */
  void retried(String reason, int ran, RunState state, @Nullable String lastEventId) {
    core.log()
        .write(
            LogEvent.REQUEST_RETRIED,
            "request",
            requestId,
            "reason",
            reason,
            "ran",
            ran,
            "state",
            state.label(),
            "lastEvent",
            lastEventId == null ? "" : lastEventId);
  }

  /** The request was refused as not run. */
  void refused(ResultCode code, String reason, long retryAfterMs, long waitedMs) {
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

  /** The caller left. */
  void left(long afterMs, RunState state) {
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

  /** The request was answered, or failed after it was sent. */
  void ended(
      ResultCode code,
      int status,
      String how,
      int ran,
      RunState state,
      long tookMs,
      long lastTryMs) {
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
            how,
            "ran",
            ran,
            "state",
            state.label(),
            "tookMs",
            tookMs,
            "lastTryMs",
            lastTryMs);
  }
}
