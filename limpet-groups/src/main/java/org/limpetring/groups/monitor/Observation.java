package org.limpetring.groups.monitor;

import java.util.List;
import org.limpetring.base.DaemonId;

/**
 * Versioned state of all groups that one daemon observes.
 *
 * @param version increases with each new observation of the same observer
 * @param sentMs when it was created, on the observer's monotonic clock
 */
public record Observation(
    DaemonId observer, long version, long sentMs, List<ObservedGroup> groups) {

  /** Copies the groups. */
  public Observation {
    groups = List.copyOf(groups);
  }
}
