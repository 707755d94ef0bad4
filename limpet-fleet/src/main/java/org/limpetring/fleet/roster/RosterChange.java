package org.limpetring.fleet.roster;

import java.util.List;
import org.limpetring.base.DaemonId;

/**
 * What made one roster epoch out of the one before it.
 *
 * @param epoch the epoch that the change made
 * @param joined daemons that were added
 * @param left daemons that stopped acting before they were removed
 * @param evicted daemons that were removed without a sign from them
 */
public record RosterChange(
    long epoch, List<DaemonId> joined, List<DaemonId> left, List<DaemonId> evicted) {

  /** Copies the lists. */
  public RosterChange {
    joined = List.copyOf(joined);
    left = List.copyOf(left);
    evicted = List.copyOf(evicted);
  }
}
