package org.limpetring.standin.host;

/**
 * Log entry of one request.
 *
 * @param number index in the log, from 0
 * @param request request id set by the sender
 * @param reference the caller's own identifier from the body, or empty
 * @param cold whether the upstream was cold on arrival
 * @param running requests in progress on the upstream on arrival, including this one
 * @param arrivedAtMs wall time in milliseconds since the Unix epoch
 * @param endedAtMs wall time in milliseconds since the Unix epoch, or 0 while in progress
 * @param detail why the response was cut off, or empty
 */
public record RunEntry(
    long number,
    String host,
    String request,
    String reference,
    boolean cold,
    int running,
    long arrivedAtMs,
    long endedAtMs,
    State state,
    String detail) {

  /** Progress or outcome of the request. */
  public enum State {
    /** Queued on the upstream. */
    WAITING,
    /** Being executed. */
    RUNNING,
    /** Executed, with a complete response. */
    DONE,
    /** Executed at least in part, but its response was cut off. */
    CUT,
    /** Rejected without being executed. */
    REFUSED
  }

  /** Whether the upstream executed any part of the request. */
  public boolean ran() {
    return state == State.RUNNING || state == State.DONE || state == State.CUT;
  }
}
