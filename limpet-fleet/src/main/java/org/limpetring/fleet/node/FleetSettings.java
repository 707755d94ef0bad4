package org.limpetring.fleet.node;

import org.limpetring.fleet.membership.MembershipSettings;
import org.limpetring.fleet.role.RoleSettings;

/**
 * Times of one daemon's fleet machine; all daemons must use the same role settings.
 *
 * @param staleAfterMs age of knowledge from which on new work is refused
 * @param watchMs wait of each platform watch
 */
public record FleetSettings(
    long staleAfterMs, long watchMs, RoleSettings roles, MembershipSettings membership) {

  /** Times for daemons a few milliseconds apart. */
  public static final FleetSettings DEFAULT =
      new FleetSettings(3_000, 500, RoleSettings.DEFAULT, MembershipSettings.DEFAULT);
}
