package org.limpetring.routing.cold;

import org.limpetring.base.GroupId;

/**
 * Notice to all daemons that a group turned cold, or proved warm again. Serialized as JSON under
 * the names of the components.
 *
 * @param version increases with each change of the same group
 */
public record ColdNotice(GroupId group, String incarnation, long version, boolean cold) {

  /** Whether this notice supersedes {@code other}; at equal versions, cold wins. */
  public boolean replaces(ColdNotice other) {
    if (version != other.version) {
      return version > other.version;
    }
    return cold && !other.cold;
  }
}
