package org.limpetring.entry.place;

/**
 * Decides whether a daemon that is stopping still takes a request.
 *
 * <p>Load pattern: daemons are replaced in turn under load. The balancer goes on sending for two
 * missed checks, and callers reuse open connections; later a request is taken only if it ends well
 * before the process is killed, and is otherwise refused as not run, so that the caller goes to
 * another daemon instead of losing its answer halfway.
 */
public final class ShutdownRule {

  /** The balancer takes a daemon out after two misses, a second apart. */
  public static final long BALANCER_REMOVAL_MS = 2_600;

  /** Part of the grace time by which requests that were taken late have to end. */
  private static final double LATE_PART = 0.8;

  private ShutdownRule() {}

  /**
   * Whether to take a request.
   *
   * @param stoppingMs time since the order to stop
   * @param longestMs longest time that the request may take
   * @param graceMs time from the order to stop until the process is killed
   */
  public static boolean accepts(long stoppingMs, long longestMs, long graceMs) {
    return stoppingMs <= BALANCER_REMOVAL_MS || stoppingMs + longestMs <= graceMs * LATE_PART;
  }
}
