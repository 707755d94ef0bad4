package org.limpetring.entry;

/**
 * Decides when requests wait because this daemon stood still and its view may be outdated.
 *
 * <p>Load pattern: a process gets no processor time, or collects garbage, for a second; requests
 * queue up in its sockets, and are read before the store's and the peers' news of that time. So
 * nothing is sent until the view has been read again, or for {@link #MAX_HOLD_MS} if the store does
 * not answer.
 */
final class StallGuard {

  /** Time without a tick that counts as a stall; docs/PROMISES.md leaves room for shorter ones. */
  static final long MIN_STALL_MS = 500;

  /** Several times the time of a read; callers have waited for longer already. */
  static final long MAX_HOLD_MS = 250;

  private long lastTickMs = Long.MAX_VALUE / 2;
  private long holdUntilMs = Long.MIN_VALUE;

  /** Records a tick; returns whether the daemon stood still before it. */
  boolean onTick(long nowMs) {
    boolean isStalled = nowMs - lastTickMs >= MIN_STALL_MS;
    if (isStalled) {
      holdUntilMs = nowMs + MAX_HOLD_MS;
    }
    lastTickMs = nowMs;
    return isStalled;
  }

  /** The view has been read again. */
  void onRefreshed() {
    holdUntilMs = Long.MIN_VALUE;
  }

  /** Whether requests are to wait. */
  boolean isHolding(long nowMs) {
    return nowMs < holdUntilMs || nowMs - lastTickMs >= MIN_STALL_MS;
  }
}
