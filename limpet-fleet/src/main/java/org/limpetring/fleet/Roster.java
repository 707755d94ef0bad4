package org.limpetring.fleet;

import java.util.Comparator;
import java.util.List;
import org.limpetring.base.DaemonId;

/** The daemons that share the control work, at one epoch; sorted by name. */
public record Roster(long epoch, List<DaemonEntry> daemons) {

  /** Before the first daemon joined. */
  public static final Roster EMPTY = new Roster(0, List.of());

  /** Sorts and copies the list. */
  public Roster {
    daemons = daemons.stream().sorted(Comparator.comparing(DaemonEntry::id)).toList();
  }

  /** Whether {@code daemon} is in the roster. */
  public boolean contains(DaemonId daemon) {
    return daemons.stream().anyMatch(entry -> entry.id().equals(daemon));
  }

  /** Names in sorted order. */
  public List<DaemonId> ids() {
    return daemons.stream().map(DaemonEntry::id).toList();
  }

  /** Smallest number of daemons that is more than half. */
  public int majority() {
    return daemons.size() / 2 + 1;
  }
}
