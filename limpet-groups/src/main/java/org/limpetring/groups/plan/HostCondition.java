package org.limpetring.groups.plan;

/** Condition of a host as far as planning is concerned. */
enum HostCondition {
  /** Responds and may be a member. */
  USABLE,
  /** Has not responded for less than the loss timeout, or was never polled. */
  PAUSED,
  /** Has not responded for at least the loss timeout. */
  LOST,
  /**
   * Leaving, or individually marked out of service; finishes requests in progress and is replaced.
   */
  RETIRING,
  /** In a failure domain that is out of service; keeps its weights until the domain returns. */
  OUT
}
