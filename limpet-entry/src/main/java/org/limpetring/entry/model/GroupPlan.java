package org.limpetring.entry.model;

import java.util.List;

/**
 * Planned groups and the current planner; stored in the platform's store by conditional writes.
 *
 * @param planner daemon that holds the planner role
 * @param term increases with each change of planner
 * @param lastEpoch highest epoch assigned to a group so far
 */
public record GroupPlan(String planner, long term, long lastEpoch, List<PlannedGroup> groups) {

  /** Makes a defensive copy of the groups. */
  public GroupPlan {
    groups = List.copyOf(groups);
  }
}
