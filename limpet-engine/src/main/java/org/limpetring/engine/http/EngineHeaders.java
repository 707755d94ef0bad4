package org.limpetring.engine.http;

/** Names of the headers that pass between daemons and upstreams. */
public final class EngineHeaders {

  /** Request id; an answer must carry the one it was asked with. */
  public static final String REQUEST = "X-Limpet-Request";

  /** Milliseconds left until the answer is of no use. */
  public static final String DEADLINE_MS = "X-Limpet-Deadline-Ms";

  /** Priority; higher is served first. */
  public static final String PRIORITY = "X-Limpet-Priority";

  /** Number of events that the caller already has. */
  public static final String RESUME = "X-Limpet-Resume";

  /** Set to {@code true} by an upstream that refused before running anything. */
  public static final String NOT_RUN = "X-Limpet-Not-Run";

  private EngineHeaders() {}
}
