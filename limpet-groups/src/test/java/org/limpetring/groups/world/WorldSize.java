package org.limpetring.groups.world;

import org.limpetring.groups.control.ControlSettings;
import org.limpetring.groups.plan.PlannerPolicy;

/** How large a world is and by which times it goes. */
record WorldSize(
    int failureDomains,
    int fabricDomainsEach,
    int hosts,
    int groupSize,
    int groupsWanted,
    int daemons,
    boolean checksFencing,
    long stepMs,
    FakeWeights weights,
    ControlSettings settings) {

  /** Two domains with room for two groups and a spare each. */
  static WorldSize small(boolean checksFencing, int groupsWanted) {
    return new WorldSize(
        2,
        1,
        14,
        3,
        groupsWanted,
        3,
        checksFencing,
        250,
        new FakeWeights(4_000, 500, 2),
        ControlSettings.DEFAULT);
  }

  /** Fleet with groups of four; a host loads weights for 90 s, four hosts at once. */
  static WorldSize fleet(
      int failureDomains,
      int fabricDomainsEach,
      int hosts,
      int groupsWanted,
      PlannerPolicy policy) {
    ControlSettings base = ControlSettings.DEFAULT;
    ControlSettings settings =
        new ControlSettings(
            base.pollMs(),
            base.freshMs(),
            base.publishMs(),
            base.planReadMs(),
            base.planMs(),
            base.roundMs(),
            base.orderRetryMs(),
            policy);
    return new WorldSize(
        failureDomains,
        fabricDomainsEach,
        hosts,
        4,
        groupsWanted,
        2,
        false,
        500,
        new FakeWeights(90_000, 5_000, 4),
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
