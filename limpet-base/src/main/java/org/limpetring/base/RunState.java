package org.limpetring.base;

/** What is known about whether an upstream executed a request. */
public enum RunState {
  /** No byte of the request reached an upstream in any attempt. */
  NOT_RUN("not run"),
  /** An upstream executed the request. */
  RAN("ran"),
  /** The request was dispatched and whether it ran is unknown. */
  UNKNOWN("unknown");

  private final String label;

  RunState(String label) {
    this.label = label;
  }

  /** Spelling on the wire and in documents. */
  public String label() {
    return label;
  }

  /**
   * State of a request after one more attempt: {@link #NOT_RUN} never replaces an earlier state
   * that may have run.
   */
  public RunState then(RunState next) {
    if (this == RAN || next == RAN) {
      return RAN;
    }
    return this == UNKNOWN ? UNKNOWN : next;
  }
}
