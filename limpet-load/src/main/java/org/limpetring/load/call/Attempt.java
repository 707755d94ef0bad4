package org.limpetring.load.call;

import org.limpetring.base.RunState;

/**
 * One try of a request through one daemon.
 *
 * @param request id that the daemon gave, or empty
 * @param end how the try ended
 * @param code result code, 0 for a whole answer, or negative for what a caller sees by itself
 * @param runState what the caller was told of the request's fate
 * @param atMs wall time of its begin, in milliseconds since the Unix epoch
 * @param detail what was wrong, or empty
 */
public record Attempt(
    String daemon,
    String request,
    End end,
    int code,
    RunState runState,
    Advice advice,
    long atMs,
    String detail) {

  /** Code of a try whose connection was refused. */
  public static final int CODE_REFUSED = -1;

  /** Code of a try whose connection broke, or whose time ran out. */
  public static final int CODE_BROKEN = -2;

  /** Code of a try whose answer was wrong. */
  public static final int CODE_WRONG = -3;

  /** How a try ended. */
  public enum End {
    /** Whole answer to the own request. */
    WHOLE,
    /** Error that says so. */
    ERROR,
    /** Connection refused, broken or silent. */
    BROKEN,
    /** Something that passes for an answer but is not the whole of the own one. */
    WRONG
  }

  /** When to try again. */
  public enum Advice {
    /** Do not. */
    NEVER,
    /** At once through another daemon. */
    ELSEWHERE,
    /** After a while. */
    LATER,
    /** Only where running twice does no harm. */
    IF_IDEMPOTENT
  }
}
