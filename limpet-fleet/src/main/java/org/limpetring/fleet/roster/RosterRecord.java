package org.limpetring.fleet.roster;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.Roster;

/**
 * The {@code roster} object: the roster and the changes that led to it from the last retired epoch.
 *
 * @param roster the daemons at the newest epoch
 * @param changes changes after {@code retiredEpoch}, oldest first, one for each epoch
 * @param retiredEpoch under this epoch and all before it no daemon acts any more
 */
public record RosterRecord(Roster roster, List<RosterChange> changes, long retiredEpoch) {

  /** Before the first daemon joined. */
  public static final RosterRecord EMPTY = new RosterRecord(Roster.EMPTY, List.of(), 0);

  /** Copies the list. */
  public RosterRecord {
    changes = List.copyOf(changes);
  }

  /** Epoch of the roster. */
  public long epoch() {
    return roster.epoch();
  }

  /** Daemons at {@code epoch}, which must lie between the retired epoch and the newest. */
  public Set<DaemonId> membersAt(long epoch) {
    Set<DaemonId> members = new TreeSet<>(roster.ids());
    for (int index = changes.size() - 1; index >= 0; index--) {
      RosterChange change = changes.get(index);
      if (change.epoch() <= epoch) {
        break;
      }
      change.joined().forEach(members::remove);
      members.addAll(change.left());
      members.addAll(change.evicted());
    }
    return members;
  }

  /** Daemons that have stopped acting by themselves after {@code epoch}. */
  public Set<DaemonId> leftAfter(long epoch) {
    Set<DaemonId> left = new HashSet<>();
    for (RosterChange change : changes) {
      if (change.epoch() > epoch) {
        left.addAll(change.left());
      }
    }
    return left;
  }

  /** The same roster with the changes up to {@code epoch} forgotten. */
  public RosterRecord retire(long epoch) {
    if (epoch <= retiredEpoch) {
      return this;
    }
    List<RosterChange> kept = changes.stream().filter(change -> change.epoch() > epoch).toList();
    return new RosterRecord(roster, kept, epoch);
  }
}
