package org.limpetring.routing.cold;

import org.limpetring.base.GroupId;

/**
 * Permission to occupy one slot of a cold group's budget with one request.
 *
 * @param incarnation state of the group that the permit was given for
 * @param slot number of the slot, from 0
 * @param serial tells permits of one sender apart
 * @param validMs time for which the request may occupy the group, from when the permit was asked
 */
public record ColdPermit(GroupId group, String incarnation, int slot, long serial, long validMs) {

  /** Time left for the request; 0 or less means that it must not be sent. */
  public long leftMs(long askedMs, long nowMs) {
    return askedMs + validMs - nowMs;
  }
}
