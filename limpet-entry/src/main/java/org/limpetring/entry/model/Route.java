package org.limpetring.entry.model;

import java.util.List;

/**
 * Row of the routes table.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMs time limit of a request
 * @param objectiveMs latency target of the response, or of a stream's first event
 * @param attempts most upstreams that may run one attempt of a caller
 * @param priority 0 is the highest
 * @param isPublic whether requests are accepted without a key
 * @param isResumable whether a broken stream may be resumed at another upstream
 * @param gapObjectiveMs target for the longest gap between events; 0 if none is set
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    long timeoutMs,
    long objectiveMs,
    int attempts,
    int priority,
    boolean isPublic,
    boolean isResumable,
    long gapObjectiveMs,
    List<Target> targets) {

  /** Service that receives a share of the route's requests, in proportion to its weight. */
  public record Target(String service, double weight) {}

  /** Makes a defensive copy of the targets. */
  public Route {
    targets = List.copyOf(targets);
  }

  /** Whether a request that may have run may be sent again. */
  public boolean isRetryable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && isResumable);
  }

  /** Whether responses are streams of events. */
  public boolean isStreaming() {
    return kind == RequestKind.STREAMING;
  }
}
