package org.limpetring.fleet.node;

import org.limpetring.fleet.membership.MembershipSettings;
import org.limpetring.fleet.role.RoleSettings;

/**
 * Timing of one daemon's fleet machine; all daemons must use the same role settings.
 *
 * @param staleAfterMs age of knowledge above which new work is rejected
 * @param watchTimeoutMs long-poll timeout of each platform watch
 */
public record FleetSettings(
    long staleAfterMs, long watchTimeoutMs, RoleSettings roles, MembershipSettings membership) {

  /** Defaults for daemons with a few milliseconds of network delay between them. */
  public static final FleetSettings DEFAULT =
      new FleetSettings(3_000, 500, RoleSettings.DEFAULT, MembershipSettings.DEFAULT);
}
