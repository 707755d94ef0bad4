package org.limpetring.load.call;

import org.limpetring.base.RunState;

/**
 * One attempt at a request through one daemon.
 *
 * @param requestId id that the daemon assigned, or empty
 * @param end how the attempt ended
 * @param code result code, 0 for a complete response, or one of the negative codes for what the
 *     caller detects itself
 * @param runState whether the request ran, as reported to the caller
 * @param startedAtMs wall time of the start, in milliseconds since the Unix epoch
 * @param detail description of the failure, or empty
 */
public record Attempt(
    String daemon,
    String requestId,
    End end,
    int code,
    RunState runState,
    Advice advice,
    long startedAtMs,
    String detail) {

  /** Code of an attempt whose connection was refused. */
  public static final int CODE_REFUSED = -1;

  /** Code of an attempt whose connection broke or timed out. */
  public static final int CODE_BROKEN = -2;

  /** Code of an attempt whose response was wrong. */
  public static final int CODE_WRONG = -3;

  /** How an attempt ended. */
  public enum End {
    /** Complete response to the caller's own request. */
    WHOLE,
    /** Explicit error response. */
    ERROR,
    /** Connection refused, broken or timed out. */
    BROKEN,
    /** Response that looks successful but is not the complete one to the caller's request. */
    WRONG
  }

  /** When to retry. */
  public enum Advice {
    /** Never. */
    NEVER,
    /** Immediately, through another daemon. */
    ELSEWHERE,
    /** After a delay. */
    LATER,
    /** Only if the request is idempotent. */
    IF_IDEMPOTENT
  }
}
