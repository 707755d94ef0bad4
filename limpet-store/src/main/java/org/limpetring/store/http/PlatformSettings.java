package org.limpetring.store.http;

/**
 * How to reach the platform.
 *
 * @param baseUrl scheme, address and port, without a path
 * @param connectTimeoutMs longest time to open a connection
 * @param callTimeoutMs longest time from the start of a call to its whole answer
 * @param watchSlackMs time that a watch may take beyond the wait it asked for
 * @param maxConnections connections open at once, each waiting watch holding one
 */
public record PlatformSettings(
    String baseUrl,
    long connectTimeoutMs,
    long callTimeoutMs,
    long watchSlackMs,
    int maxConnections) {

  /** Rejects times and sizes that are not positive. */
  public PlatformSettings {
    if (connectTimeoutMs <= 0 || callTimeoutMs <= 0 || watchSlackMs <= 0 || maxConnections <= 0) {
      throw new IllegalArgumentException("platform times and sizes must be positive");
    }
  }

  /** Settings with the usual deadlines. */
  public static PlatformSettings withDefaults(String baseUrl) {
    return new PlatformSettings(baseUrl, 500, 2_000, 1_500, 32);
  }
}
