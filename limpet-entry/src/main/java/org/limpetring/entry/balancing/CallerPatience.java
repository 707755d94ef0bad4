package org.limpetring.entry.balancing;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a request is a caller's retry of a refused one.
 *
 * <p>Nothing marks a retry but the shorter time that its caller still waits. Callers of one route
 * differ in how long they wait at all, so only a request with far less time than the most patient
 * callers lately had counts as a retry. The route's timeout says nothing about it: operators change
 * it while the callers keep theirs.
 */
public final class CallerPatience {

  /** Time left, as a fraction of the most patient callers', below which a request is a retry. */
  private static final double RETRY_FRACTION = 0.75;

  /** Each of the two windows over which the most patient caller is remembered. */
  private static final long WINDOW_MS = 10_000;

  private static final class RoutePatience {
    long windowStartMs = Long.MIN_VALUE / 2;
    long currentMaxMs;
    long previousMaxMs;
  }

  private final Map<String, RoutePatience> routes = new HashMap<>();

  /** Records a request's time limit; returns whether the request is a retry. */
  public boolean isRetry(String route, long deadlineMs, long nowMs) {
    RoutePatience patience = routes.computeIfAbsent(route, key -> new RoutePatience());
    if (nowMs - patience.windowStartMs >= WINDOW_MS) {
      boolean isRecent = nowMs - patience.windowStartMs < 2 * WINDOW_MS;
      patience.previousMaxMs = isRecent ? patience.currentMaxMs : 0;
      patience.currentMaxMs = 0;
      patience.windowStartMs = nowMs;
    }
    patience.currentMaxMs = Math.max(patience.currentMaxMs, deadlineMs);
    long maxMs = Math.max(patience.currentMaxMs, patience.previousMaxMs);
    return deadlineMs < RETRY_FRACTION * maxMs;
  }

  /** Discards routes without requests since {@code beforeMs}. */
  public void forgetBefore(long beforeMs) {
    routes.values().removeIf(patience -> patience.windowStartMs < beforeMs - WINDOW_MS);
  }
}
