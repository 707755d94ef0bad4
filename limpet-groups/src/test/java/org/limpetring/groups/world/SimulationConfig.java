package org.limpetring.groups.world;

import org.limpetring.groups.control.ControlSettings;
import org.limpetring.groups.plan.PlannerPolicy;

/** How large a world is and by which times it goes. */
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

  /** Two domains with room for two groups and a spare each. */
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

  /** Fleet with groups of four; a host loads weights for 90 s, four hosts at once. */
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

  /** Hosts of the fabric domain with this number; the first ones take the remainder. */
  int hostsIn(int domain) {
    return hosts / domains() + (domain < hosts % domains() ? 1 : 0);
  }
}
