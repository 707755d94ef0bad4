package org.limpetring.entry.model;

/** State of a host's membership in a group. */
public enum MemberState {
  /** Still loading or joining. */
  JOINING,
  /** Joined; the group does not serve through this host. */
  READY,
  /** Head that serves. */
  OPEN,
  /** Head that finishes its work and takes no more. */
  CLOSING,
  /** Head that lost a member. */
  BROKEN,
  /** Not told or not understood. */
  UNKNOWN;

  /** Whether a head in this state may hold its members. */
  public boolean holdsMembers() {
    return this == OPEN || this == CLOSING || this == UNKNOWN;
  }
}
