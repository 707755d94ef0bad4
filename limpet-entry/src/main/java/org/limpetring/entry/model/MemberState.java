package org.limpetring.entry.model;

/** State of a host's membership in a group. */
public enum MemberState {
  /** Still loading or joining. */
  JOINING,
  /** Joined; not a serving head. */
  READY,
  /** Head that serves. */
  OPEN,
  /** Head that completes its requests and accepts no more. */
  CLOSING,
  /** Head that lost a member. */
  BROKEN,
  /** Not reported or not recognized. */
  UNKNOWN;

  /** Whether members may still be bound to a head in this state. */
  public boolean holdsMembers() {
    return this == OPEN || this == CLOSING || this == UNKNOWN;
  }
}
