package org.limpetring.base;

/**
 * How one try of a request ended; the three forms cannot be confused by accident.
 *
 * <p>Only {@link NotRun} permits another try of non-idempotent work.
 */
public sealed interface Outcome {

  /** Code that describes the end. */
  ResultCode code();

  /** Whether the request ran in this try. */
  RunState runState();

  /** No byte of the request can have reached an upstream. */
  record NotRun(ResultCode code, String detail) implements Outcome {
    @Override
    public RunState runState() {
      return RunState.NOT_RUN;
    }
  }

  /**
   * The upstream executed the request; {@code code} is {@link ResultCode#OK} for a whole answer.
   */
  record Ran(ResultCode code, String detail) implements Outcome {
    @Override
    public RunState runState() {
      return RunState.RAN;
    }
  }

  /** The request was dispatched and nothing proves whether it ran. */
  record Unknown(ResultCode code, String detail) implements Outcome {
    @Override
    public RunState runState() {
      return RunState.UNKNOWN;
    }
  }
}
