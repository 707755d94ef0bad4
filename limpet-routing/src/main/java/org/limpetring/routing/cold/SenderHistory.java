package org.limpetring.routing.cold;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.limpetring.base.DaemonId;
import org.limpetring.base.GroupId;
import org.limpetring.fleet.Role;
import org.limpetring.fleet.Roster;

/**
 * History of recent rosters, from which it follows since when a daemon has had the same sender rank
 * of a group.
 */
final class SenderHistory {

  /** Rank of a daemon that is not a sender. */
  static final int NO_RANK = -1;

  /** Value of {@code activeFromMs} while senders of earlier epochs may still grant permits. */
  static final long NOT_YET_ACTIVE = Long.MAX_VALUE;

  private record RosterPeriod(Roster roster, long activeFromMs) {}

  private final DaemonId self;
  private final long windowMs;
  private final Deque<RosterPeriod> periods = new ArrayDeque<>();

  SenderHistory(DaemonId self, long windowMs) {
    this.self = self;
    this.windowMs = windowMs;
  }

  /** Adds a newer roster; returns false if it is not newer. */
  boolean add(Roster roster, long activeFromMs) {
    if (!periods.isEmpty() && roster.epoch() <= periods.getLast().roster().epoch()) {
      return false;
    }
    periods.addLast(new RosterPeriod(roster, activeFromMs));
    if (activeFromMs != NOT_YET_ACTIVE) {
      prune(activeFromMs);
    }
    return true;
  }

  /** Records that from {@code nowMs} on no sender of an epoch before the newest grants permits. */
  void onEarlierSendersStopped(long nowMs) {
    List<RosterPeriod> updated = new ArrayList<>();
    for (RosterPeriod period : periods) {
      updated.add(
          period.activeFromMs() == NOT_YET_ACTIVE
              ? new RosterPeriod(period.roster(), nowMs)
              : period);
    }
    periods.clear();
    periods.addAll(updated);
    prune(nowMs);
  }

  private void prune(long nowMs) {
    while (periods.size() > 1) {
      Iterator<RosterPeriod> oldestFirst = periods.iterator();
      oldestFirst.next();
      if (oldestFirst.next().activeFromMs() > nowMs - windowMs) {
        return;
      }
      periods.removeFirst();
    }
  }

  /** Returns the epoch of the newest roster, or 0 if there is none. */
  long epoch() {
    return periods.isEmpty() ? 0 : periods.getLast().roster().epoch();
  }

  /** Returns the rank of this daemon among the senders of {@code group}, from 0. */
  int rank(GroupId group) {
    return periods.isEmpty() ? NO_RANK : rank(group, periods.getLast());
  }

  private int rank(GroupId group, RosterPeriod period) {
    return Role.coldSender(group).holders(period.roster()).indexOf(self);
  }

  /**
   * Returns the time since when this daemon has held its current rank continuously. A gap in the
   * epochs ends the period, because a missed epoch may have assigned the rank to another daemon.
   */
  long rankHeldSinceMs(GroupId group) {
    int rank = rank(group);
    long sinceMs = Long.MAX_VALUE;
    long expectedEpoch = epoch();
    Iterator<RosterPeriod> newestFirst = periods.descendingIterator();
    while (newestFirst.hasNext()) {
      RosterPeriod period = newestFirst.next();
      if (period.roster().epoch() != expectedEpoch || rank(group, period) != rank) {
        break;
      }
      expectedEpoch--;
      sinceMs = period.activeFromMs();
    }
    return sinceMs;
  }
}
