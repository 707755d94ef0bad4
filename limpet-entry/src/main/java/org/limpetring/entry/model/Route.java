package org.limpetring.entry.model;

import java.util.List;

/**
 * Row of the routes table.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMs longest time a caller is kept waiting
 * @param objectiveMs time to the answer, or to a stream's first event, that counts as on time
 * @param attempts upstreams that may run one attempt of a caller
 * @param priority rank; 0 goes first
 * @param isPublic whether callers need no key
 * @param isResumable whether a broken stream may go on at another upstream
 * @param gapObjectiveMs longest pause between events that counts as on time; 0 if none is set
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

  /** Service that takes a share of the route's requests, in proportion to its weight. */
  public record Target(String service, double weight) {}

  /** Copies the targets. */
  public Route {
    targets = List.copyOf(targets);
  }

  /** Whether a request may be sent again after it may have run. */
  public boolean isRetryable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && isResumable);
  }

  /** Whether the route's answers are streams of events. */
  public boolean isStreaming() {
    return kind == RequestKind.STREAMING;
  }
}
