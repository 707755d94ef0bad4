package org.limpetring.engine;

import org.limpetring.base.Outcome;
import org.limpetring.groups.MemberPort;

/**
 * Port to upstreams: requests besides control; blocks the calling thread, and may be used from any.
 */
public interface EnginePort extends MemberPort {

  /**
   * Sends one request and passes the answer on as it arrives.
   *
   * @param address {@code ip:port} of the upstream
   * @return not run only where no byte can have reached the upstream
   */
  Outcome send(String address, EngineRequest request, ResponseSink sink);
}
