package org.limpetring.base;

/** What is known about whether an upstream executed a request. */
public enum RunState {
  /** No byte of the request reached an upstream in any try. */
  NOT_RUN("not run"),
  /** An upstream executed the request. */
  RAN("ran"),
  /** The request was dispatched and its fate cannot be told. */
  UNKNOWN("unknown");

  private final String label;

  RunState(String label) {
    this.label = label;
  }

  /** Wire and document spelling. */
  public String label() {
    return label;
  }

  /** State of a request after one more try: what may have run earlier stays so. */
  public RunState then(RunState next) {
    if (this == RAN || next == RAN) {
      return RAN;
    }
    return this == UNKNOWN ? UNKNOWN : next;
  }
}
