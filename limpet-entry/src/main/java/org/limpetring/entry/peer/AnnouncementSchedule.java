package org.limpetring.entry.peer;

/**
 * Decides when a daemon announces its state, and to whom.
 *
 * <p>Load pattern: hundreds of daemons send requests to the same few heads and must know each
 * other's load within a fraction of a second. Each daemon sends its state to the planner, which
 * sends the total to all: two datagrams per daemon and interval instead of one per pair. While no
 * planner is known, each daemon sends to a subset of the others in round-robin order, so that a
 * takeover candidate can detect that it is cut off itself. A recently started daemon does the same.
 */
public final class AnnouncementSchedule {

  /** Recipients of an announcement. */
  public enum Recipients {
    NONE,
    PLANNER,
    /** The next {@link #FANOUT} of the other daemons, in round-robin order. */
    SUBSET,
    ALL
  }

  /** Recipients per announcement while no planner is known; covers a small fleet completely. */
  public static final int FANOUT = 16;

  /** Shortest interval; about two passes of a model engine. */
  private static final long MIN_INTERVAL_MS = 150;

  /** Longest interval; a fraction of the planner silence that triggers a takeover. */
  private static final long MAX_INTERVAL_MS = 300;

  /**
   * Growth of the interval with the fleet; bounds the planner's datagrams to some hundred per
   * second.
   */
  private static final double INTERVAL_MS_PER_DAEMON = 2.5;

  /**
   * Intervals without a datagram after which the planner counts as silent; tolerates one lost
   * datagram.
   */
  private static final int MISSED_INTERVALS = 2;

  private static final long JITTER_MARGIN_MS = 50;

  /** Time after the start in which a daemon announces itself to others that may not know it yet. */
  private static final long INTRODUCTION_MS = 3_000;

  private boolean isExpedited;
  private long lastSentMs = Long.MIN_VALUE / 2;
  private long firstCallMs = Long.MAX_VALUE;

  /** Interval between two announcements. */
  public static long intervalMs(int knownDaemons) {
    long proportionalMs = (long) (INTERVAL_MS_PER_DAEMON * knownDaemons);
    return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, proportionalMs));
  }

  /** Time in which a daemon announces itself to all others while no planner is known. */
  public static long roundMs(int knownDaemons) {
    return MAX_INTERVAL_MS * Math.max(1, (knownDaemons + FANOUT - 2) / FANOUT);
  }

  /** Silence after which the planner is treated as unknown. */
  public static long plannerSilenceMs(int knownDaemons) {
    return MISSED_INTERVALS * intervalMs(knownDaemons) + JITTER_MARGIN_MS;
  }

  /** Makes the next announcement due after half of its interval, since it contains news. */
  public void expedite() {
    isExpedited = true;
  }

  /** Returns the recipients of an announcement that is due now, or NONE, and records it as sent. */
  public Recipients next(boolean isPlanner, boolean isPlannerAlive, int knownDaemons, long nowMs) {
    firstCallMs = Math.min(firstCallMs, nowMs);
    boolean isIntroduced = nowMs - firstCallMs >= INTRODUCTION_MS;
    boolean isToPlanner = !isPlanner && isPlannerAlive && isIntroduced;
    long intervalMs = isPlanner || isToPlanner ? intervalMs(knownDaemons) : MAX_INTERVAL_MS;
    if (nowMs - lastSentMs < (isExpedited ? intervalMs / 2 : intervalMs)) {
      return Recipients.NONE;
    }
    isExpedited = false;
    lastSentMs = nowMs;
    if (isPlanner) {
      return Recipients.ALL;
    }
    return isToPlanner ? Recipients.PLANNER : Recipients.SUBSET;
  }
}
