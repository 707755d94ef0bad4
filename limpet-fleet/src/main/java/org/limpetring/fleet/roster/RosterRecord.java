package org.limpetring.fleet.roster;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.Roster;

/**
 * The {@code roster} object: the roster and the changes made since the last retired epoch.
 *
 * @param roster daemons in the newest epoch
 * @param changes one change per epoch after {@code retiredEpoch}, oldest first
 * @param retiredEpoch no daemon acts any more under this epoch or an earlier one
 */
public record RosterRecord(Roster roster, List<RosterChange> changes, long retiredEpoch) {

  /** Record before the first daemon joins. */
  public static final RosterRecord EMPTY = new RosterRecord(Roster.EMPTY, List.of(), 0);

  /** Copies the list. */
  public RosterRecord {
    changes = List.copyOf(changes);
  }

  /** Epoch of the roster. */
  public long epoch() {
    return roster.epoch();
  }

  /** Daemons in {@code epoch}, which must lie between the retired epoch and the newest one. */
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

  /** Daemons that left voluntarily after {@code epoch} and have stopped acting. */
  public Set<DaemonId> leftAfter(long epoch) {
    Set<DaemonId> left = new HashSet<>();
    for (RosterChange change : changes) {
      if (change.epoch() > epoch) {
        left.addAll(change.left());
      }
    }
    return left;
  }

  /** The same roster without the changes up to {@code epoch}. */
  public RosterRecord retire(long epoch) {
    if (epoch <= retiredEpoch) {
      return this;
    }
    List<RosterChange> kept = changes.stream().filter(change -> change.epoch() > epoch).toList();
    return new RosterRecord(roster, kept, epoch);
  }
}
