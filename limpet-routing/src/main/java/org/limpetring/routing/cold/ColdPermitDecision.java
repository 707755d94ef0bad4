package org.limpetring.routing.cold;

import org.limpetring.base.ResultCode;

/** Answer of a cold sender to a request for a permit. */
public sealed interface ColdPermitDecision {

  /** One slot is the requester's. */
  record Granted(ColdPermit permit) implements ColdPermitDecision {}

  /** No slot is free, or this daemon is no sender of the group. */
  record Refused(ResultCode code, String reason) implements ColdPermitDecision {}
}
