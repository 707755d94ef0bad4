package org.limpetring.fleet.roster;

import org.limpetring.base.DaemonId;

/** What the roster machine asks its runner to do. */
public sealed interface RosterEffect {

  /** Read the {@code roster} object. */
  record ReadRoster() implements RosterEffect {}

  /** Write the {@code roster} object if its version still is {@code expectedVersion}. */
  record WriteRoster(RosterRecord record, long expectedVersion) implements RosterEffect {}

  /** Use {@code record} from now on and spread it. */
  record Follow(RosterRecord record) implements RosterEffect {}

  /** This daemon was removed by others; it must go on under a new id. */
  record Evicted(DaemonId former) implements RosterEffect {}
}
