package org.limpetring.engine.http;

/**
 * Timeouts and connection limits of the HTTP adapter to upstreams.
 *
 * @param connectTimeoutMs maximum time to open a connection or to obtain one from the pool
 * @param controlTimeoutMs timeout of a control call, such as an order or a report
 * @param maxConnectionsPerUpstream maximum number of connections to one upstream
 * @param maxConnections maximum number of connections to all upstreams
 * @param connectionTtlMs age after which a pooled connection is not reused
 */
public record EngineSettings(
    long connectTimeoutMs,
    long controlTimeoutMs,
    int maxConnectionsPerUpstream,
    int maxConnections,
    long connectionTtlMs) {

  /** Defaults for upstreams within the same region. */
  public static final EngineSettings DEFAULT = new EngineSettings(500, 800, 256, 4_096, 5_000);

  /** Checks that all values are positive and the connection limits consistent. */
  public EngineSettings {
    if (connectTimeoutMs <= 0 || controlTimeoutMs <= 0 || connectionTtlMs <= 0) {
      throw new IllegalArgumentException("timeouts must be positive");
    }
    if (maxConnectionsPerUpstream <= 0 || maxConnections < maxConnectionsPerUpstream) {
      throw new IllegalArgumentException(
          "connection limits must be positive, and the total at least the limit per upstream");
    }
  }
}
