package org.limpetring.routing.cold;

import org.limpetring.base.GroupId;

/**
 * Word to all daemons that a group turned cold, or proved warm again.
 *
 * @param version grows with each change for the same group and incarnation
 */
public record ColdNotice(GroupId group, String incarnation, long version, boolean cold) {

  /** Whether this notice replaces {@code other}; at equal versions cold wins. */
  public boolean replaces(ColdNotice other) {
    if (version != other.version) {
      return version > other.version;
    }
    return cold && !other.cold;
  }
}
