package org.limpetring.groups.monitor;

import java.util.List;
import org.limpetring.base.DaemonId;

/**
 * All that one observer says, as one versioned state.
 *
 * @param version grows with each new statement of the same observer
 */
public record Observation(DaemonId observer, long version, List<ObservedGroup> groups) {

  /** Copies the groups. */
  public Observation {
    groups = List.copyOf(groups);
  }
}
