package org.limpetring.groups.plan;

import java.util.List;
import org.limpetring.groups.Plan;

/** Decision of the planner. */
public sealed interface PlannerDecision {

  /** The current plan stays. */
  record Keep() implements PlannerDecision {}

  /**
   * A new plan has to be written, provided that the current one has not changed meanwhile.
   *
   * @param plan new plan without a writer
   * @param reasons descriptions of the changes
   */
  record Replace(Plan plan, List<String> reasons) implements PlannerDecision {
    /** Copies the reasons. */
    public Replace {
      reasons = List.copyOf(reasons);
    }
  }
}
