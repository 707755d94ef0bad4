package org.limpetring.entry.balancing;

/** Admission decision on a request. */
public sealed interface Verdict {

  /** Send the request to the endpoint now. */
  record Send(Endpoint endpoint) implements Verdict {}

  /** Queue the request and decide again when a slot frees up, at {@code untilMs} at the latest. */
  record Wait(long untilMs) implements Verdict {}

  /** Refuse the request; a slot is expected to be free after {@code retryAfterMs}. */
  record Refuse(long retryAfterMs, String reason) implements Verdict {}
}
