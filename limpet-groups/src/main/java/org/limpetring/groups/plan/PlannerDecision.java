package org.limpetring.groups.plan;

import java.util.List;
import org.limpetring.groups.Plan;

/** What the planner wants done. */
public sealed interface PlannerDecision {

  /** The plan in force stays. */
  record Keep() implements PlannerDecision {}

  /**
   * A new plan shall be written, on the condition that the old one is still in force.
   *
   * @param plan new plan without a writer
   * @param reasons what changed, in words
   */
  record Replace(Plan plan, List<String> reasons) implements PlannerDecision {
    /** Copies the reasons. */
    public Replace {
      reasons = List.copyOf(reasons);
    }
  }
}
