package org.limpetring.fleet.membership;

import org.limpetring.base.DaemonId;

/**
 * Membership update about one daemon, piggybacked on probes.
 *
 * @param incarnation counter that only the daemon itself increments
 * @param suspected whether another daemon failed to reach it
 */
public record MemberUpdate(DaemonId daemon, long incarnation, boolean suspected) {

  /** Whether this update overrides {@code older} about the same daemon. */
  boolean overrides(MemberUpdate older) {
    if (incarnation != older.incarnation()) {
      return incarnation > older.incarnation();
    }
    return suspected && !older.suspected();
  }
}
