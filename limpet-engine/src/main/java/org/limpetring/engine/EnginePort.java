package org.limpetring.engine;

import org.limpetring.base.Outcome;
import org.limpetring.groups.MemberPort;

/**
 * Port to upstreams that adds requests to the control calls. Calls block; the port is thread-safe.
 */
public interface EnginePort extends MemberPort {

  /**
   * Sends one request and forwards the response to the sink as it arrives.
   *
   * @param address {@code ip:port} of the upstream
   * @return the outcome; {@link Outcome.NotRun} if the request cannot have run
   */
  Outcome send(String address, EngineRequest request, ResponseSink sink);
}
