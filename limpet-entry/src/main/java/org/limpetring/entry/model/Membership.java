package org.limpetring.entry.model;

/**
 * A host's place in a group.
 *
 * @param rank 0 for the head
 */
public record Membership(String group, long epoch, int rank, MemberState state) {

  /** Whether this is a place in that group at that epoch. */
  public boolean isOf(String otherGroup, long otherEpoch) {
    return group.equals(otherGroup) && epoch == otherEpoch;
  }
}
