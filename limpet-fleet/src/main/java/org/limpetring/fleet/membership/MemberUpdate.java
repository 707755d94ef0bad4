package org.limpetring.fleet.membership;

import org.limpetring.base.DaemonId;

/**
 * News of one daemon that travels with probes.
 *
 * @param incarnation number that only the daemon itself raises
 * @param suspected whether somebody could not reach it
 */
public record MemberUpdate(DaemonId daemon, long incarnation, boolean suspected) {

  /** Whether this news overrides {@code older} of the same daemon. */
  boolean overrides(MemberUpdate older) {
    if (incarnation != older.incarnation()) {
      return incarnation > older.incarnation();
    }
    return suspected && !older.suspected();
  }
}
