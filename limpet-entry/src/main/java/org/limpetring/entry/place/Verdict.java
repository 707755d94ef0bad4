package org.limpetring.entry.place;

/** Decision on a request that has no place yet. */
public sealed interface Verdict {

  /** Send it there now. */
  record Send(Endpoint place) implements Verdict {}

  /** Keep it and ask again when a place frees up, or at {@code untilMs} at the latest. */
  record Wait(long untilMs) implements Verdict {}

  /** Refuse it; a place is expected after {@code retryAfterMs}. */
  record Refuse(long retryAfterMs, String reason) implements Verdict {}
}
