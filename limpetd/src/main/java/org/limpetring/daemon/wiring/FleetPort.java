package org.limpetring.daemon.wiring;

import org.limpetring.fleet.Role;
import org.limpetring.fleet.Roster;
import org.limpetring.tables.AcceptedConfig;

/** What the daemon takes from the fleet of daemons; each call answers from memory. */
public interface FleetPort {

  /** Configuration in force. */
  AcceptedConfig config();

  /** Whether the newest configuration was confirmed since this daemon started. */
  boolean isReady();

  /** Whether this daemon could have learnt of a change lately enough to take new work. */
  boolean isFresh(long nowMs);

  /** The daemons that share the control work. */
  Roster roster();

  /** Whether holders of roles under earlier rosters have surely stopped acting. */
  boolean earlierRolesOver(long nowMs);

  /** Whether this daemon holds {@code role} now. */
  boolean holds(Role role, long nowMs);
}
