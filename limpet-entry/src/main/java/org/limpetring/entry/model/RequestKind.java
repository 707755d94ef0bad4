package org.limpetring.entry.model;

/** Retry semantics of a route's requests. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once per attempt of the caller. */
  NON_IDEMPOTENT,
  /** Responds with a stream of events; retryable only if the route is resumable. */
  STREAMING
}
