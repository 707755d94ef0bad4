package org.limpetring.base;

/**
 * Outcome of one attempt of a request; a type for each {@link RunState}, which the compiler
 * distinguishes.
 *
 * <p>Only {@link NotRun} permits another attempt of non-idempotent work.
 */
public sealed interface Outcome {

  /** Result code of the attempt. */
  ResultCode code();

  /** Whether the request ran in this attempt. */
  RunState runState();

  /** No byte of the request can have reached an upstream. */
  record NotRun(ResultCode code, String detail) implements Outcome {
    @Override
    public RunState runState() {
      return RunState.NOT_RUN;
    }
  }

  /**
   * The upstream executed the request; {@code code} is {@link ResultCode#OK} for a complete
   * response.
   */
  record Ran(ResultCode code, String detail) implements Outcome {
    @Override
    public RunState runState() {
      return RunState.RAN;
    }
  }

  /** The request was dispatched and whether it ran is unknown. */
  record Unknown(ResultCode code, String detail) implements Outcome {
    @Override
    public RunState runState() {
      return RunState.UNKNOWN;
    }
  }
}
