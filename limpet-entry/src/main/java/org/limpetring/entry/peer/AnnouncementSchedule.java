package org.limpetring.entry.peer;

/**
 * Decides when a daemon tells its state, and to whom.
 *
 * <p>Load pattern: hundreds of daemons send to the same few heads and have to know each other's
 * load within a fraction of a second. Each tells the planner, which tells all the sums: two
 * datagrams a daemon and interval instead of one for each pair. While no planner is heard, each
 * tells some others in turn, so that the next in line knows whether it is cut off itself; so does a
 * daemon that has just started.
 */
public final class AnnouncementSchedule {

  /** To whom a daemon tells its state now. */
  public enum Recipients {
    NONE,
    PLANNER,
    /** {@link #FANOUT} of the others, each time the next ones. */
    SUBSET,
    ALL
  }

  /** Daemons told at once where there is no planner to tell; a small fleet hears all of itself. */
  public static final int FANOUT = 16;

  /** Shortest interval; about the time of two passes of a model engine. */
  private static final long MIN_INTERVAL_MS = 150;

  /** The planner is heard more often than its silence is waited for. */
  private static final long MAX_INTERVAL_MS = 300;

  /** Interval's growth, which bounds the datagrams of the planner to some hundred a second. */
  private static final double INTERVAL_MS_PER_DAEMON = 2.5;

  /** Intervals without a word after which the planner counts as not heard; one may be lost. */
  private static final int MISSED_INTERVALS = 2;

  private static final long SLACK_MS = 50;

  /** Time after the start in which a daemon tells others, who may not know it yet. */
  private static final long INTRODUCTION_MS = 3_000;

  private long toldMs = Long.MIN_VALUE / 2;
  private long firstMs = Long.MAX_VALUE;

  /** Interval between two tellings. */
  public static long intervalMs(int knownDaemons) {
    long wanted = (long) (INTERVAL_MS_PER_DAEMON * knownDaemons);
    return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, wanted));
  }

  /** Silence after which the planner counts as not heard. */
  public static long plannerSilenceMs(int knownDaemons) {
    return MISSED_INTERVALS * intervalMs(knownDaemons) + SLACK_MS;
  }

  /** Whom to tell now; whoever is named counts as told. */
  public Recipients next(boolean isPlanner, boolean isPlannerHeard, int knownDaemons, long nowMs) {
    firstMs = Math.min(firstMs, nowMs);
    boolean isIntroduced = nowMs - firstMs >= INTRODUCTION_MS;
    boolean isToPlanner = !isPlanner && isPlannerHeard && isIntroduced;
    long intervalMs = isPlanner || isToPlanner ? intervalMs(knownDaemons) : MAX_INTERVAL_MS;
    if (nowMs - toldMs < intervalMs) {
      return Recipients.NONE;
    }
    toldMs = nowMs;
    if (isPlanner) {
      return Recipients.ALL;
    }
    return isToPlanner ? Recipients.PLANNER : Recipients.SUBSET;
  }
}
