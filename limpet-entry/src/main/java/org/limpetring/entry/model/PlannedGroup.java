package org.limpetring.entry.model;

import java.util.List;

/**
 * Group that the planner has decided on.
 *
 * @param members host ids; the first is the head
 * @param phase how far the planner has come with it
 */
public record PlannedGroup(
    String name, long epoch, String service, String model, List<String> members, Phase phase) {

  /** Life of a planned group. */
  public enum Phase {
    /** Members are ordered to join; the head has not been ordered to serve. */
    FORMING,
    /** The head has been ordered to serve. */
    OPENED,
    /** The head is being taken out; its members stay bound until that is certain. */
    ENDING
  }

  /** Copies the members. */
  public PlannedGroup {
    members = List.copyOf(members);
  }

  /** Host id of the head. */
  public String head() {
    return members.get(0);
  }

  /** The same group in another phase. */
  public PlannedGroup withPhase(Phase newPhase) {
    return new PlannedGroup(name, epoch, service, model, members, newPhase);
  }
}
