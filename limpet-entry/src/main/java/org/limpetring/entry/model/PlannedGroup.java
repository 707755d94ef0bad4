package org.limpetring.entry.model;

import java.util.List;

/**
 * Group in the plan.
 *
 * @param members host ids; the first is the head
 * @param phase progress of the group
 */
public record PlannedGroup(
    String name, long epoch, String service, String model, List<String> members, Phase phase) {

  /** Lifecycle phase of a planned group. */
  public enum Phase {
    /** Members are ordered to join; the head has not been ordered to serve. */
    FORMING,
    /** The head has been ordered to serve. */
    OPENED,
    /** The head is being shut down; the members stay bound until this is confirmed. */
    ENDING
  }

  /** Makes a defensive copy of the members. */
  public PlannedGroup {
    members = List.copyOf(members);
  }

  /** Returns the host id of the head. */
  public String head() {
    return members.get(0);
  }

  /** Returns a copy of this group in another phase. */
  public PlannedGroup withPhase(Phase newPhase) {
    return new PlannedGroup(name, epoch, service, model, members, newPhase);
  }
}
