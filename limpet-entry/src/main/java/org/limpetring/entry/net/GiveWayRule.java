package org.limpetring.entry.net;

/**
 * Decides which connection gives way when the memory or the number of connections is full.
 *
 * <p>Load pattern: a crowd fills the limit with unfinished requests or unread responses and then
 * does nothing, while ordinary callers send and read small amounts at once. What waits for its
 * caller weighs more the longer the caller is silent; of the rest, the largest gives way. No I/O
 * and no clock.
 */
final class GiveWayRule {

  private static final double WAITING_FACTOR = 2;
  private static final double MS_PER_S = 1_000;

  /** Rank of connections that never give way. */
  static final int NEVER = Integer.MAX_VALUE;

  private GiveWayRule() {}

  /** Factor of a connection's bytes; the greatest product gives way first. */
  static double weight(boolean isWaitingForCaller, long silentMs) {
    return isWaitingForCaller ? WAITING_FACTOR + Math.max(0, silentMs) / MS_PER_S : 1;
  }

  /**
   * Rank of a connection when there are too many; the lowest gives way first, and among equals the
   * one that has been silent longest.
   *
   * @param hasServed whether the connection has carried a complete request
   */
  static int rank(SlowCallerRule.Phase phase, boolean hasServed, boolean hasUnread) {
    if (hasUnread) {
      return 1;
    }
    if (phase == SlowCallerRule.Phase.IN_PROGRESS) {
      return NEVER;
    }
    if (phase == SlowCallerRule.Phase.IDLE) {
      return hasServed ? 2 : 0;
    }
    return 0;
  }
}
