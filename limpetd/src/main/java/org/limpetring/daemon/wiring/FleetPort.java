package org.limpetring.daemon.wiring;

import org.limpetring.fleet.Role;
import org.limpetring.fleet.Roster;
import org.limpetring.tables.AcceptedConfig;

/** The daemon's view of the fleet; each call reads an in-memory snapshot. */
public interface FleetPort {

  /** Accepted configuration in use. */
  AcceptedConfig config();

  /** Whether a configuration has been accepted since this daemon started. */
  boolean isReady();

  /** Whether this daemon's view of the fleet is recent enough to take new work. */
  boolean isFresh(long nowMs);

  /** The daemons that share the roles. */
  Roster roster();

  /** Whether all holders of roles under earlier rosters are certain to have stopped acting. */
  boolean earlierRolesExpired(long nowMs);

  /** Whether this daemon holds {@code role} now. */
  boolean holds(Role role, long nowMs);
}
