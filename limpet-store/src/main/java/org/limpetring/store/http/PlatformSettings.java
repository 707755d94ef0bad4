package org.limpetring.store.http;

/**
 * Address, timeouts and connection limit of the platform client.
 *
 * @param baseUrl scheme, address and port, without a path
 * @param connectTimeoutMs maximum time to open a connection or to obtain one from the pool
 * @param callTimeoutMs maximum time from the start of a call to its complete response
 * @param watchSlackMs additional time of a watch call beyond its requested wait
 * @param maxConnections maximum number of open connections; each waiting watch occupies one
 */
public record PlatformSettings(
    String baseUrl,
    long connectTimeoutMs,
    long callTimeoutMs,
    long watchSlackMs,
    int maxConnections) {

  /** Checks that all times and sizes are positive. */
  public PlatformSettings {
    if (connectTimeoutMs <= 0 || callTimeoutMs <= 0 || watchSlackMs <= 0 || maxConnections <= 0) {
      throw new IllegalArgumentException("platform times and sizes must be positive");
    }
  }

  /** Settings with the default timeouts and connection limit. */
  public static PlatformSettings withDefaults(String baseUrl) {
    return new PlatformSettings(baseUrl, 500, 2_000, 1_500, 32);
  }
}
