package org.limpetring.entry.model;

/**
 * Membership of a host in a group.
 *
 * @param rank position in the group; 0 is the head
 */
public record Membership(String group, long epoch, int rank, MemberState state) {

  /** Whether this is a membership in the given group at the given epoch. */
  public boolean isOf(String otherGroup, long otherEpoch) {
    return group.equals(otherGroup) && epoch == otherEpoch;
  }
}
