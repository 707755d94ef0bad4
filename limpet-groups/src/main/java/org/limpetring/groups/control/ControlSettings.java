package org.limpetring.groups.control;

import org.limpetring.groups.plan.PlannerPolicy;

/**
 * Times of the controller.
 *
 * @param pollMs time between two asks of the same upstream
 * @param freshMs age up to which evidence counts on the request path
 * @param publishIntervalMs time between two statements of this observer that say the same
 * @param planReadIntervalMs time between two readings of all plans
 * @param planIntervalMs time between two rounds of planning
 * @param maxRoundMs longest time between reading a plan and sending an order that rests on it
 * @param orderRetryMs time before the same order goes to the same host again
 */
public record ControlSettings(
    long pollIntervalMs,
    long freshMs,
    long publishIntervalMs,
    long planReadIntervalMs,
    long planIntervalMs,
    long maxRoundMs,
    long orderRetryMs,
    PlannerPolicy planner) {

  /** Settings of the daemon. */
  public static final ControlSettings DEFAULT =
      new ControlSettings(500, 2_000, 1_000, 2_000, 500, 500, 2_000, PlannerPolicy.DEFAULT);
}
