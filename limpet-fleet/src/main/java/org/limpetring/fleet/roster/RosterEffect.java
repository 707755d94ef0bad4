package org.limpetring.fleet.roster;

import org.limpetring.base.DaemonId;

/** Action that {@link RosterMachine} requests from its runner. */
public sealed interface RosterEffect {

  /** Read the {@code roster} object. */
  record ReadRoster() implements RosterEffect {}

  /** Write the {@code roster} object if its version is still {@code expectedVersion}. */
  record WriteRoster(RosterRecord record, long expectedVersion) implements RosterEffect {}

  /** Switch to {@code record} and gossip it. */
  record Adopt(RosterRecord record) implements RosterEffect {}

  /** Other daemons removed this daemon; it has to rejoin under a new id. */
  record Evicted(DaemonId former) implements RosterEffect {}
}
