package org.limpetring.entry.model;

import java.util.List;

/**
 * All planned groups and who plans; kept in the platform's store, changed only conditionally.
 *
 * @param planner daemon that holds the planner's role
 * @param term grows with each change of planner
 * @param lastEpoch highest epoch that was given to a group
 */
public record GroupPlan(String planner, long term, long lastEpoch, List<PlannedGroup> groups) {

  /** Copies the groups. */
  public GroupPlan {
    groups = List.copyOf(groups);
  }
}
