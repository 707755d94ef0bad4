package org.limpetring.base;

/**
 * Numbered outcome of a caller's request, of an operator's command or of a peer's message.
 *
 * <p>1xxx errors of the caller, 2xxx rejections before dispatch, 3xxx failures after dispatch, 4xxx
 * operators' commands, 5xxx internal errors. The table in {@code docs/RESULT-CODES.md} mirrors this
 * enum.
 */
public enum ResultCode {
  OK(0, 200, RunState.RAN, Retry.NEVER, "The request was executed and answered in full."),

  BAD_REQUEST(
      1001, 400, RunState.NOT_RUN, Retry.NEVER, "The request body or a header is malformed."),
  BODY_TOO_LARGE(1002, 413, RunState.NOT_RUN, Retry.NEVER, "The request body exceeds the limit."),
  BAD_KEY(1003, 401, RunState.NOT_RUN, Retry.NEVER, "The caller's bearer key is missing or wrong."),
  NO_ROUTE(1004, 404, RunState.NOT_RUN, Retry.NEVER, "No route matches the request."),
  KEY_REQUIRED(
      1005,
      400,
      RunState.NOT_RUN,
      Retry.NEVER,
      "The route is not idempotent and the request has no Idempotency-Key."),
  KEY_EXPIRED(
      1006,
      409,
      RunState.UNKNOWN,
      Retry.NEVER,
      "The Idempotency-Key lies outside of the retention window."),
  KEY_REUSED(
      1007,
      422,
      RunState.NOT_RUN,
      Retry.NEVER,
      "The Idempotency-Key was used with a different request."),
  KEY_MALFORMED(
      1008,
      400,
      RunState.NOT_RUN,
      Retry.NEVER,
      "The Idempotency-Key is not a UUID of version 7 (RFC 9562)."),

  NO_GROUP_SERVING(
      2001, 503, RunState.NOT_RUN, Retry.LATER, "No group or upstream of the pool is serving."),
  DEADLINE_TOO_SHORT(
      2002,
      503,
      RunState.NOT_RUN,
      Retry.LATER,
      "The request could not finish before its deadline."),
  QUEUE_FULL(2003, 429, RunState.NOT_RUN, Retry.LATER, "The caller's share of the queue is full."),
  LIMIT_REACHED(
      2004, 429, RunState.NOT_RUN, Retry.LATER, "Every serving group is at its concurrency limit."),
  COLD_LIMIT_REACHED(
      2005,
      503,
      RunState.NOT_RUN,
      Retry.LATER,
      "Only cold upstreams remain and their budget is spent."),
  STALE_DAEMON(
      2006,
      503,
      RunState.NOT_RUN,
      Retry.ELSEWHERE,
      "This daemon is cut off and cannot learn of changes."),
  STOPPING(2007, 503, RunState.NOT_RUN, Retry.ELSEWHERE, "This daemon is shutting down."),
  NOT_READY(
      2008,
      503,
      RunState.NOT_RUN,
      Retry.ELSEWHERE,
      "This daemon has no accepted configuration yet."),
  CLAIM_UNAVAILABLE(
      2009, 503, RunState.NOT_RUN, Retry.LATER, "The request's key could not be claimed."),
  POISON_REQUEST(2010, 422, RunState.RAN, Retry.NEVER, "The request is known to crash upstreams."),
  RETRY_BUDGET_SPENT(
      2011,
      503,
      RunState.UNKNOWN,
      Retry.LATER,
      "The request may have run; the retry budget is spent."),
  QUEUE_TIMEOUT(
      2012,
      503,
      RunState.NOT_RUN,
      Retry.LATER,
      "The request waited in the queue until its deadline."),
  UPSTREAM_REFUSED(
      2013,
      503,
      RunState.NOT_RUN,
      Retry.LATER,
      "Each upstream tried refused before taking the request."),
  QUARANTINED(
      2014,
      503,
      RunState.NOT_RUN,
      Retry.LATER,
      "The request contains what has recently crashed upstreams."),

  UPSTREAM_LOST(
      3001, 502, RunState.UNKNOWN, Retry.IF_IDEMPOTENT, "The connection broke after dispatch."),
  UPSTREAM_TIMEOUT(
      3002,
      504,
      RunState.UNKNOWN,
      Retry.IF_IDEMPOTENT,
      "No progress within the deadline after dispatch."),
  ANSWER_MISMATCH(
      3003, 502, RunState.UNKNOWN, Retry.IF_IDEMPOTENT, "The upstream answered another request."),
  ANSWER_TRUNCATED(
      3004, 502, RunState.UNKNOWN, Retry.IF_IDEMPOTENT, "The answer ended without its end marker."),
  DUPLICATE_IN_PROGRESS(
      3005, 409, RunState.UNKNOWN, Retry.NEVER, "A request with the same key is in progress."),
  DUPLICATE_DONE(
      3006,
      409,
      RunState.RAN,
      Retry.NEVER,
      "A request with the same key ran; its answer is no longer held."),
  UPSTREAM_ERROR(
      3007,
      502,
      RunState.RAN,
      Retry.NEVER,
      "The upstream executed the request and reported an error."),
  DUPLICATE_UNKNOWN(
      3008,
      409,
      RunState.UNKNOWN,
      Retry.NEVER,
      "A request with the same key was dispatched; its fate is unknown."),
  CANCELLED(
      3009, 499, RunState.UNKNOWN, Retry.NEVER, "The caller left before the answer was complete."),

  TABLE_INVALID(
      4001, 422, RunState.NOT_RUN, Retry.NEVER, "A table has mistakes and was not applied."),
  TABLE_CONFLICT(
      4002,
      409,
      RunState.NOT_RUN,
      Retry.NEVER,
      "A table changed since the version that the command named."),
  PLATFORM_UNAVAILABLE(4003, 503, RunState.NOT_RUN, Retry.LATER, "The platform did not answer."),
  PLATFORM_UNKNOWN(
      4004,
      503,
      RunState.UNKNOWN,
      Retry.LATER,
      "The platform's answer was lost; the write may have taken effect."),
  USAGE(4005, 400, RunState.NOT_RUN, Retry.NEVER, "The command line is wrong."),
  NOT_FOUND(4006, 404, RunState.NOT_RUN, Retry.NEVER, "The named object does not exist."),
  SETTINGS_INVALID(4007, 400, RunState.NOT_RUN, Retry.NEVER, "The settings file has mistakes."),

  INTERNAL(5001, 500, RunState.UNKNOWN, Retry.NEVER, "The daemon failed; see event log.");

  /** When a caller may send the same request again. */
  public enum Retry {
    /** Only after the request was changed. */
    NEVER("never"),
    /** After the delay in {@code Retry-After}. */
    LATER("later"),
    /** Immediately, through another daemon. */
    ELSEWHERE("elsewhere"),
    /** Only where the work is idempotent. */
    IF_IDEMPOTENT("if idempotent");

    private final String label;

    Retry(String label) {
      this.label = label;
    }

    /** Spelling on the wire and in documents. */
    public String label() {
      return label;
    }
  }

  private final int number;
  private final int httpStatus;
  private final RunState runState;
  private final Retry retry;
  private final String meaning;

  ResultCode(int number, int httpStatus, RunState runState, Retry retry, String meaning) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.runState = runState;
    this.retry = retry;
    this.meaning = meaning;
  }

  /** Number that stays fixed across versions. */
  public int number() {
    return number;
  }

  /** HTTP status that accompanies the code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Whether the request ran, as far as the code alone determines it. */
  public RunState runState() {
    return runState;
  }

  /** Whether sending the request again is safe. */
  public Retry retry() {
    return retry;
  }

  /** Description for documents and error bodies, one sentence. */
  public String meaning() {
    return meaning;
  }
}
