package org.limpetring.entry.balancing;

import org.limpetring.base.RunState;
import org.limpetring.entry.model.Route;

/**
 * Decides whether an attempt of a caller may run again at another upstream.
 *
 * <p>Load pattern: groups break every few seconds under full load, and each break interrupts all
 * streams of the group.
 */
public final class RetryRule {

  private RetryRule() {}

  /**
   * Whether a request may be sent again after its last try ended.
   *
   * @param state whether any try so far has run
   * @param executed tries that may have run
   */
  public static boolean mayRetry(Route route, RunState state, int executed) {
    if (state == RunState.NOT_RUN) {
      return true;
    }
    return route.isRetryable() && executed < Math.max(1, route.attempts());
  }

  /**
   * Whether a request in progress may move away from a group that is being disbanded. If no further
   * run is allowed, the current one continues, since it may still complete.
   *
   * @param executedBefore tries that may have run, without the one in progress
   */
  public static boolean mayMove(Route route, int executedBefore) {
    return mayRetry(route, RunState.UNKNOWN, executedBefore + 1);
  }
}
