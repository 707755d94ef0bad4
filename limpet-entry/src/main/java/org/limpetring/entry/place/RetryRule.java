package org.limpetring.entry.place;

import org.limpetring.base.RunState;
import org.limpetring.entry.model.Route;

/**
 * Decides whether one attempt of a caller may run at another upstream.
 *
 * <p>Load pattern: groups break every few seconds under full load, and each takes all its streams
 * with it.
 */
public final class RetryRule {

  private RetryRule() {}

  /**
   * Whether a request whose last try has ended may be sent again.
   *
   * @param state what is known of all tries so far
   * @param ran tries that may have run
   */
  public static boolean mayRetry(Route route, RunState state, int ran) {
    if (state == RunState.NOT_RUN) {
      return true;
    }
    return route.isRetryable() && ran < Math.max(1, route.attempts());
  }

  /**
   * Whether a request in progress at a group that is being taken apart may leave it for another.
   * Where no other run is allowed the one in progress is left alone, since it may still end well.
   *
   * @param ranBefore tries that may have run, without the one in progress
   */
  public static boolean mayMove(Route route, int ranBefore) {
    return mayRetry(route, RunState.UNKNOWN, ranBefore + 1);
  }
}
