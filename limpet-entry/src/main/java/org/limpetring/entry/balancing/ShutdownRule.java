package org.limpetring.entry.balancing;

/**
 * Decides whether a daemon that is shutting down still accepts a request, and when it ends the
 * rest.
 *
 * <p>Load pattern: rolling restarts under load. The load balancer keeps sending until two health
 * checks have failed, and callers reuse open connections. After that a request is accepted only if
 * it ends well before the process is killed; otherwise it is refused as not run, so that the caller
 * turns to another daemon instead of losing its response halfway. Work that may not be repeated is
 * held to this from the start, as nobody can make up for a lost response.
 */
public final class ShutdownRule {

  /** The load balancer removes a daemon after two failed checks, one second apart. */
  public static final long BALANCER_REMOVAL_MS = 2_600;

  /** Part of the grace period within which accepted requests have to end. */
  private static final double END_FRACTION = 0.8;

  /** Part of the grace period after which requests still in progress get their final answer. */
  private static final double CUT_FRACTION = 0.97;

  /** Part of the grace period after which the process ends; what is left is for writing answers. */
  private static final double EXIT_FRACTION = 0.99;

  private ShutdownRule() {}

  /**
   * Whether to accept a request.
   *
   * @param stoppingMs time since the shutdown signal
   * @param maxDurationMs time limit of the request
   * @param graceMs time from the shutdown signal until the process is killed
   * @param isRetryable whether the request may be repeated if its response is lost
   */
  public static boolean accepts(
      long stoppingMs, long maxDurationMs, long graceMs, boolean isRetryable) {
    boolean endsInTime = stoppingMs + maxDurationMs <= graceMs * END_FRACTION;
    boolean isBalancerSending =
        stoppingMs <= Math.min(BALANCER_REMOVAL_MS, graceMs * END_FRACTION / 2);
    return endsInTime || (isRetryable && isBalancerSending);
  }

  /** Whether requests in progress get their final answer now. */
  public static boolean isGraceSpent(long stoppingMs, long graceMs) {
    return stoppingMs > graceMs * CUT_FRACTION;
  }

  /** Whether the process ends, whatever is still to be written. */
  public static boolean mustExit(long stoppingMs, long graceMs) {
    return stoppingMs > graceMs * EXIT_FRACTION;
  }
}
