package org.limpetring.fleet.roster;

import java.util.List;
import org.limpetring.base.DaemonId;

/**
 * Difference between one roster epoch and the one before it.
 *
 * @param epoch epoch created by the change
 * @param joined daemons that were added
 * @param left daemons that stopped acting before they were removed
 * @param evicted unreachable daemons that other daemons removed
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
