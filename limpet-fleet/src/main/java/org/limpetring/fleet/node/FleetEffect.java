package org.limpetring.fleet.node;

import java.util.Set;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.config.ConfigEffect;
import org.limpetring.fleet.gossip.TopicState;
import org.limpetring.fleet.roster.RosterEffect;

/** Action that {@link FleetMachine} requests from its runner. */
public sealed interface FleetEffect {

  /** Send a message. */
  record Send(DaemonEntry to, FleetMessage message) implements FleetEffect {}

  /** Read {@code accepted}, the tables and the service marks. */
  record ReadForJoin() implements FleetEffect {}

  /** Write {@code accepted}. */
  record WriteAccepted(ConfigEffect.WriteAccepted write) implements FleetEffect {}

  /** Read the roster in order to change it. */
  record ReadRoster() implements FleetEffect {}

  /** Write the roster. */
  record WriteRoster(RosterEffect.WriteRoster write) implements FleetEffect {}

  /**
   * Read {@code accepted} and the roster once, because neither peers nor watches have confirmed
   * them recently.
   */
  record ReadNewest() implements FleetEffect {}

  /** Watch exactly these prefixes. */
  record Watch(Set<String> prefixes) implements FleetEffect {
    /** Copies the set. */
    public Watch {
      prefixes = Set.copyOf(prefixes);
    }
  }

  /** Pass a value to the listeners of its topic. */
  record Deliver(TopicState state) implements FleetEffect {}

  /** This daemon was evicted; rejoin under a new id. */
  record Evicted(DaemonId former) implements FleetEffect {}
}
