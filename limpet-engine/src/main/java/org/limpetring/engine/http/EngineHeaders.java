package org.limpetring.engine.http;

/** Names of the HTTP headers between daemons and upstreams. */
public final class EngineHeaders {

  /** Request id; the response must echo the id of its request. */
  public static final String REQUEST = "X-Limpet-Request";

  /** Milliseconds left until the deadline of the request. */
  public static final String DEADLINE_MS = "X-Limpet-Deadline-Ms";

  /** Priority; higher is served first. */
  public static final String PRIORITY = "X-Limpet-Priority";

  /** Number of events that the caller has already received. */
  public static final String RESUME = "X-Limpet-Resume";

  /** Set to {@code true} by an upstream that refused the request before running any of it. */
  public static final String NOT_RUN = "X-Limpet-Not-Run";

  private EngineHeaders() {}
}
