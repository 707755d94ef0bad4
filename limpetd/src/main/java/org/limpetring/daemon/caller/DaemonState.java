package org.limpetring.daemon.caller;

import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.choose.GroupIndex;
import org.limpetring.tables.AcceptedConfig;

/** State of the daemon that the request path depends on; reads take no lock. */
public interface DaemonState {

  /** Accepted configuration in use. */
  AcceptedConfig config();

  /** Groups that may take new work now. */
  GroupIndex groups();

  /** Whether this daemon's view of the fleet is recent enough to take new work. */
  boolean isFresh(long nowMs);

  /**
   * Whether {@code group} may take new work at {@code nowMs} as the cold or warm group that it was
   * chosen as.
   *
   * @param asCold whether the group was chosen within its cold budget
   */
  boolean serves(ServingGroup group, boolean asCold, long nowMs);

  /** Whether a configuration is accepted, so that the daemon may take requests. */
  boolean isReady();

  /** Whether the readiness check tells the balancer to send new requests elsewhere. */
  boolean isDraining();

  /** Whether new requests are rejected because of a graceful shutdown. */
  boolean isStopping();
}
