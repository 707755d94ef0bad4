package org.limpetring.entry;

import java.util.ArrayDeque;
import org.limpetring.entry.port.StorePosition;

/**
 * Bounds how old this daemon's view of a kind of object may be.
 *
 * <p>Load pattern: hundreds of daemons watch with stale reads, which cost a tenth of linearizable
 * ones. A daemon that reads the newest data announces its revision; a view that has reached an
 * announced revision is as new as the announcement. Only a view that can't be shown to be recent
 * costs a linearizable read, whether it lags or nobody announces.
 */
final class ViewAge {

  /**
   * Time after which an announced change that is missing is read; docs/PROMISES.md derives from it
   * when changes apply.
   */
  static final long MAX_AGE_MS = 800;

  /** More announcements than arrive from a planner within {@link #MAX_AGE_MS}. */
  private static final int MAX_MARKS = 16;

  private record Mark(StorePosition position, long announcedMs, boolean isNewest) {}

  /** Announced positions that the view has not reached, oldest first, increasing. */
  private final ArrayDeque<Mark> marks = new ArrayDeque<>();

  private final long maxUnannouncedMs;
  private long newestAsOfMs;

  /**
   * Age of a view that is complete at {@code nowMs}.
   *
   * @param maxUnannouncedMs age at which a view is read without an announcement
   */
  ViewAge(long maxUnannouncedMs, long nowMs) {
    this.maxUnannouncedMs = maxUnannouncedMs;
    this.newestAsOfMs = nowMs;
  }

  /** The view contains all changes acknowledged before that time. */
  void onNewest(long asOfMs) {
    newestAsOfMs = Math.max(newestAsOfMs, asOfMs);
  }

  /**
   * A peer announces a position.
   *
   * @param isNewest whether the peer reads the newest data, so that it knows of no later change
   */
  void onAnnounced(StorePosition position, boolean isNewest, long nowMs) {
    Mark last = marks.peekLast();
    boolean isAhead = last == null || position.isAfter(last.position());
    if ((isNewest || isAhead) && marks.size() < MAX_MARKS) {
      StorePosition awaited =
          last == null ? position : StorePosition.max(position, last.position());
      marks.addLast(new Mark(awaited, nowMs, isNewest));
    }
  }

  /** The view contains all changes up to that position. */
  void onReached(StorePosition position) {
    while (!marks.isEmpty() && !marks.peekFirst().position().isAfter(position)) {
      Mark reached = marks.removeFirst();
      if (reached.isNewest()) {
        onNewest(reached.announcedMs());
      }
    }
  }

  /** Newest announced position that the view has not reached; zero if there is none. */
  StorePosition awaitedPosition() {
    return marks.isEmpty() ? StorePosition.ZERO : marks.peekLast().position();
  }

  /** Whether the view is missing a change that was announced that long ago. */
  boolean isLagging(long nowMs) {
    return !marks.isEmpty() && nowMs - marks.peekFirst().announcedMs() >= MAX_AGE_MS;
  }

  /** Whether a change that was acknowledged that long ago may be missing. */
  boolean isOutdated(long nowMs) {
    return nowMs - newestAsOfMs >= maxUnannouncedMs;
  }

  /** Time for which changes may be missing. */
  long ageMs(long nowMs) {
    return nowMs - newestAsOfMs;
  }
}
