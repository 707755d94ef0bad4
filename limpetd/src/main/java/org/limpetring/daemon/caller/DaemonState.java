package org.limpetring.daemon.caller;

import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.choose.GroupIndex;
import org.limpetring.tables.AcceptedConfig;

/** What the request path must know of the daemon, read without a lock. */
public interface DaemonState {

  /** Configuration in force. */
  AcceptedConfig config();

  /** Groups that may take new work now. */
  GroupIndex groups();

  /** Whether this daemon could have learnt of a change lately enough to take new work. */
  boolean isFresh(long nowMs);

  /**
   * Whether {@code group} may take new work at {@code nowMs} as it was chosen.
   *
   * @param asCold whether it was chosen within its cold budget
   */
  boolean serves(ServingGroup group, boolean asCold, long nowMs);

  /** Whether a configuration is in force and the daemon may take requests. */
  boolean isReady();

  /** Whether the balancer is asked to send new requests elsewhere. */
  boolean isLeaving();

  /** Whether new requests are refused because of a planned stop. */
  boolean isStopping();
}
