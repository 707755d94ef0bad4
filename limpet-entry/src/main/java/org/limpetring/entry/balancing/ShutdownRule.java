package org.limpetring.entry.balancing;

/**
 * Decides whether a daemon that is shutting down still accepts a request.
 *
 * <p>Load pattern: rolling restarts under load. The load balancer keeps sending until two health
 * checks have failed, and callers reuse open connections. After that a request is accepted only if
 * it ends well before the process is killed; otherwise it is refused as not run, so that the caller
 * turns to another daemon instead of losing its response halfway.
 */
public final class ShutdownRule {

  /** The load balancer removes a daemon after two failed checks, one second apart. */
  public static final long BALANCER_REMOVAL_MS = 2_600;

  /** Part of the grace period within which requests accepted after that have to end. */
  private static final double LATE_FRACTION = 0.8;

  private ShutdownRule() {}

  /**
   * Whether to accept a request.
   *
   * @param stoppingMs time since the shutdown signal
   * @param maxDurationMs time limit of the request
   * @param graceMs time from the shutdown signal until the process is killed
   */
  public static boolean accepts(long stoppingMs, long maxDurationMs, long graceMs) {
    return stoppingMs <= BALANCER_REMOVAL_MS
        || stoppingMs + maxDurationMs <= graceMs * LATE_FRACTION;
  }
}
