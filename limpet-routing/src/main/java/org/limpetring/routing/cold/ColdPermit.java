package org.limpetring.routing.cold;

import org.limpetring.base.GroupId;

/**
 * Permission to occupy one slot of a cold group's budget with one request.
 *
 * @param incarnation incarnation of the group that the permit was granted for
 * @param slot index of the slot, from 0
 * @param serial number that is unique among the permits of one sender
 * @param validMs time that the request may occupy the group, from the request for the permit
 */
public record ColdPermit(GroupId group, String incarnation, int slot, long serial, long validMs) {

  /** Returns the time left for the request; it must not be sent if this is 0 or less. */
  public long remainingMs(long requestedAtMs, long nowMs) {
    return requestedAtMs + validMs - nowMs;
  }
}
