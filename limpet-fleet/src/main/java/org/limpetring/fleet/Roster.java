package org.limpetring.fleet;

import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;

/** The daemons that share the control work in one epoch, sorted by id. */
public record Roster(long epoch, List<DaemonEntry> daemons) {

  /** Roster before the first daemon joins. */
  public static final Roster EMPTY = new Roster(0, List.of());

  /** Sorts and copies the list. */
  public Roster {
    daemons = daemons.stream().sorted(Comparator.comparing(DaemonEntry::id)).toList();
  }

  /** Whether {@code daemon} is in the roster. */
  public boolean contains(DaemonId daemon) {
    return entry(daemon) != null;
  }

  /** The entry of {@code daemon}, or null if it is not in the roster. */
  public @Nullable DaemonEntry entry(DaemonId daemon) {
    int low = 0;
    int high = daemons.size() - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      DaemonEntry entry = daemons.get(middle);
      int order = entry.id().compareTo(daemon);
      if (order == 0) {
        return entry;
      }
      low = order < 0 ? middle + 1 : low;
      high = order < 0 ? high : middle - 1;
    }
    return null;
  }

  /** Daemon ids in sorted order. */
  public List<DaemonId> ids() {
    return daemons.stream().map(DaemonEntry::id).toList();
  }

  /** Smallest number of daemons that forms a majority. */
  public int majority() {
    return daemons.size() / 2 + 1;
  }
}
