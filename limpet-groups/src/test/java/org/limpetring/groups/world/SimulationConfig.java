package org.limpetring.groups.world;

import org.limpetring.groups.control.ControlSettings;
import org.limpetring.groups.plan.PlannerPolicy;

/** Size and timing of a simulation. */
record SimulationConfig(
    int failureDomains,
    int fabricDomainsEach,
    int hosts,
    int groupSize,
    int groupsWanted,
    int daemons,
    boolean checksFencing,
    long stepMs,
    FakeWeightStore weights,
    ControlSettings settings) {

  /** Two domains, each with hosts for two groups of three and one spare. */
  static SimulationConfig small(boolean checksFencing, int groupsWanted) {
    return new SimulationConfig(
        2,
        1,
        14,
        3,
        groupsWanted,
        3,
        checksFencing,
        250,
        new FakeWeightStore(4_000, 500, 2),
        ControlSettings.DEFAULT);
  }

  /**
   * Fleet with groups of four; loading the weights takes 90 s, and four hosts load at the full
   * rate.
   */
  static SimulationConfig fleet(
      int failureDomains,
      int fabricDomainsEach,
      int hosts,
      int groupsWanted,
      PlannerPolicy policy) {
    ControlSettings base = ControlSettings.DEFAULT;
    ControlSettings settings =
        new ControlSettings(
            base.pollIntervalMs(),
            base.freshMs(),
            base.publishIntervalMs(),
            base.planReadIntervalMs(),
            base.planIntervalMs(),
            base.maxRoundMs(),
            base.orderRetryMs(),
            policy);
    return new SimulationConfig(
        failureDomains,
        fabricDomainsEach,
        hosts,
        4,
        groupsWanted,
        2,
        false,
        500,
        new FakeWeightStore(90_000, 5_000, 4),
        settings);
  }

  int domains() {
    return failureDomains * fabricDomainsEach;
  }

  /** Number of hosts of the fabric domain with this index; the first domains get the remainder. */
  int hostsIn(int domain) {
    return hosts / domains() + (domain < hosts % domains() ? 1 : 0);
  }
}
