package org.limpetring.entry.model;

/**
 * Limits of what a daemon holds for callers, besides those of the configuration.
 *
 * @param memoryBytes bytes for requests, unread responses and response buffers together
 * @param maxConnections connections of callers
 * @param maxStatusConnections connections at the readiness address, and at the metrics address
 * @param maxPipelinedBytes bytes behind a request in progress at which a connection is not read
 * @param bodyTimeoutMs time within which a body must be complete
 * @param unreadTimeoutMs time within which a caller must take a part of an unread response
 */
public record CallerLimits(
    long memoryBytes,
    int maxConnections,
    int maxStatusConnections,
    int maxPipelinedBytes,
    long bodyTimeoutMs,
    long unreadTimeoutMs) {

  /** Part of the heap; the rest is for the daemon's own state and what the collector needs. */
  private static final int MEMORY_HEAP_DIVISOR = 4;

  /** Descriptors for files, the log and the store. */
  private static final int RESERVED_DESCRIPTORS = 200;

  /** Part of the other descriptors for connections to upstreams. */
  private static final int UPSTREAM_DIVISOR = 4;

  /** A connection without a request occupies about 5 KB of the heap. */
  private static final long HEAP_BYTES_PER_CONNECTION = 24_576;

  private static final int MIN_CONNECTIONS = 64;
  private static final int MIN_STATUS_CONNECTIONS = 16;
  private static final int MAX_STATUS_CONNECTIONS = 128;

  private static final int PIPELINED_BYTES = 65_536;
  private static final long BODY_TIMEOUT_MS = 60_000;
  private static final long UNREAD_TIMEOUT_MS = 5_000;

  /** Limits that follow from the resources of the process. */
  public static CallerLimits of(int maxDescriptors, long heapBytes) {
    int usable = Math.max(0, maxDescriptors - RESERVED_DESCRIPTORS);
    int forCallers = usable - usable / UPSTREAM_DIVISOR;
    int status = Math.max(MIN_STATUS_CONNECTIONS, Math.min(MAX_STATUS_CONNECTIONS, forCallers / 8));
    long byHeap = heapBytes / HEAP_BYTES_PER_CONNECTION;
    long callers = Math.min(byHeap, forCallers - 2L * status);
    return new CallerLimits(
        heapBytes / MEMORY_HEAP_DIVISOR,
        (int) Math.max(MIN_CONNECTIONS, callers),
        status,
        PIPELINED_BYTES,
        BODY_TIMEOUT_MS,
        UNREAD_TIMEOUT_MS);
  }
}
