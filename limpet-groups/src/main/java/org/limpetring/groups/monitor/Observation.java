package org.limpetring.groups.monitor;

import java.util.List;
import org.limpetring.base.DaemonId;

/**
 * All that one observer says, as one versioned state.
 *
 * @param version grows with each new statement of the same observer
 * @param sentMs when it was stated, on the observer's monotonic clock
 */
public record Observation(
    DaemonId observer, long version, long sentMs, List<ObservedGroup> groups) {

  /** Copies the groups. */
  public Observation {
    groups = List.copyOf(groups);
  }
}
