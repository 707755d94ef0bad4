package org.limpetring.entry.model;

/** What may be repeated of a route's requests. */
public enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT,
  /** Runs at most once for each attempt of the caller. */
  NON_IDEMPOTENT,
  /** Answered by a stream of events; repeatable only where the route says it resumes. */
  STREAMING
}
