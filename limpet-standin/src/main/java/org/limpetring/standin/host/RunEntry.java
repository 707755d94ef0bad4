package org.limpetring.standin.host;

/**
 * Entry of the log.
 *
 * @param number place in the log, from 0
 * @param request id that the sender gave
 * @param reference the caller's own mark in the body, or empty
 * @param cold whether the upstream was cold at the arrival
 * @param running requests in progress on the upstream at the arrival, this one included
 * @param arrivedAtMs wall time in milliseconds since the Unix epoch
 * @param endedAtMs the same, or 0 while in progress
 * @param detail why the answer was cut, or empty
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

  /** How far the request came. */
  public enum State {
    /** Queued in the upstream. */
    WAITING,
    /** Being executed. */
    RUNNING,
    /** Executed and answered in full. */
    DONE,
    /** Executed, but its answer was cut. */
    CUT,
    /** Refused without being executed. */
    REFUSED
  }

  /** Whether the upstream executed any part of the request. */
  public boolean ran() {
    return state == State.RUNNING || state == State.DONE || state == State.CUT;
  }
}
