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

/** Recent rosters, to tell since when a daemon has been the same sender of a group. */
final class SenderHistory {

  /** Rank of a daemon that is no sender. */
  static final int NO_RANK = -1;

  /** Stands for senders of earlier epochs that may still give permits. */
  static final long NOT_YET = Long.MAX_VALUE;

  private record Stage(Roster roster, long actsFromMs) {}

  private final DaemonId self;
  private final long windowMs;
  private final Deque<Stage> stages = new ArrayDeque<>();

  SenderHistory(DaemonId self, long windowMs) {
    this.self = self;
    this.windowMs = windowMs;
  }

  /** Takes a newer roster; returns false for one that is not newer. */
  boolean add(Roster roster, long actsFromMs) {
    if (!stages.isEmpty() && roster.epoch() <= stages.getLast().roster().epoch()) {
      return false;
    }
    stages.addLast(new Stage(roster, actsFromMs));
    if (actsFromMs != NOT_YET) {
      prune(actsFromMs);
    }
    return true;
  }

  /** Notes that since {@code nowMs} no sender of an epoch before the newest gives permits. */
  void onEarlierSendersStopped(long nowMs) {
    List<Stage> settled = new ArrayList<>();
    for (Stage stage : stages) {
      settled.add(stage.actsFromMs() == NOT_YET ? new Stage(stage.roster(), nowMs) : stage);
    }
    stages.clear();
    stages.addAll(settled);
    prune(nowMs);
  }

  private void prune(long nowMs) {
    while (stages.size() > 1) {
      Iterator<Stage> each = stages.iterator();
      each.next();
      if (each.next().actsFromMs() > nowMs - windowMs) {
        return;
      }
      stages.removeFirst();
    }
  }

  /** Epoch of the newest roster; 0 without one. */
  long epoch() {
    return stages.isEmpty() ? 0 : stages.getLast().roster().epoch();
  }

  /** Rank of this daemon among the senders of {@code group}, from 0. */
  int rank(GroupId group) {
    return stages.isEmpty() ? NO_RANK : rank(group, stages.getLast());
  }

  private int rank(GroupId group, Stage stage) {
    return Role.coldSender(group).holders(stage.roster()).indexOf(self);
  }

  /**
   * Start of the time in which this daemon has held its present rank without a break; an epoch that
   * it never saw may have given the rank to another.
   */
  long heldSinceMs(GroupId group) {
    int rank = rank(group);
    long sinceMs = Long.MAX_VALUE;
    long expectedEpoch = epoch();
    Iterator<Stage> newestFirst = stages.descendingIterator();
    while (newestFirst.hasNext()) {
      Stage stage = newestFirst.next();
      if (stage.roster().epoch() != expectedEpoch || rank(group, stage) != rank) {
        break;
      }
      expectedEpoch--;
      sinceMs = stage.actsFromMs();
    }
    return sinceMs;
  }
}
