package org.limpetring.groups.plan;

/** What a host is good for. */
enum HostCondition {
  /** Answers and may be a member. */
  USABLE,
  /** Silent for less than the patience, or never asked. */
  PAUSED,
  /** Silent for longer. */
  LOST,
  /** Leaving, or taken out by itself; finishes requests in progress and is replaced. */
  RETIRING,
  /** In a failure domain that is out of service; keeps its weights for the return. */
  OUT
}
