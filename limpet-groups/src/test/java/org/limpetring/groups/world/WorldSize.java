package org.limpetring.groups.world;

import org.limpetring.groups.control.ControlSettings;

/** How large a world is and by which times it goes. */
record WorldSize(
    int failureDomains,
    int fabricDomainsEach,
    int hostsEach,
    int groupSize,
    int groupsWanted,
    int daemons,
    boolean checksFencing,
    FakeWeights weights,
    ControlSettings settings) {

  /** Two domains with room for two groups and a spare each. */
  static WorldSize small(boolean checksFencing) {
    return new WorldSize(
        2, 1, 7, 3, 0, 3, checksFencing, new FakeWeights(4_000, 500, 2), ControlSettings.DEFAULT);
  }

  int hosts() {
    return failureDomains * fabricDomainsEach * hostsEach;
  }
}
