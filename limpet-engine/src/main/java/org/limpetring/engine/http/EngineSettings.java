package org.limpetring.engine.http;

/**
 * Deadlines and sizes of the adapter to upstreams.
 *
 * @param connectTimeoutMs longest wait for a connection
 * @param controlTimeoutMs longest wait for the answer to an order or a report
 * @param maxConnectionsPerUpstream connections at once to one upstream
 * @param maxConnections connections at once to all upstreams
 * @param idleConnectionMs age at which an unused connection is not used again
 */
public record EngineSettings(
    long connectTimeoutMs,
    long controlTimeoutMs,
    int maxConnectionsPerUpstream,
    int maxConnections,
    long idleConnectionMs) {

  /** Values that suit upstreams within the same region. */
  public static final EngineSettings DEFAULT = new EngineSettings(500, 800, 256, 4_096, 5_000);

  /** Rejects values that are not positive. */
  public EngineSettings {
    if (connectTimeoutMs <= 0 || controlTimeoutMs <= 0 || idleConnectionMs <= 0) {
      throw new IllegalArgumentException("timeouts must be positive");
    }
    if (maxConnectionsPerUpstream <= 0 || maxConnections < maxConnectionsPerUpstream) {
      throw new IllegalArgumentException("connection limits are wrong");
    }
  }
}
