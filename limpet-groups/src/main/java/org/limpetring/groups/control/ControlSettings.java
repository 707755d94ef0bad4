package org.limpetring.groups.control;

import org.limpetring.groups.plan.PlannerPolicy;

/**
 * Intervals and timeouts of the controller.
 *
 * @param pollIntervalMs interval at which an upstream is polled
 * @param freshMs maximum age of a confirmation used on the request path
 * @param publishIntervalMs interval at which an unchanged observation is published again
 * @param planReadIntervalMs interval at which all plans are read
 * @param planIntervalMs interval between planning rounds
 * @param maxRoundMs maximum time between the start of a planning round and the sending of its
 *     orders
 * @param orderRetryMs time before the same order is sent to the same host again
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

  /** Default settings of the daemon. */
  public static final ControlSettings DEFAULT =
      new ControlSettings(500, 2_000, 1_000, 2_000, 500, 500, 2_000, PlannerPolicy.DEFAULT);
}
