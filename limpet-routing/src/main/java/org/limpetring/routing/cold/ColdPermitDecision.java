package org.limpetring.routing.cold;

import org.limpetring.base.ResultCode;

/** Decision of a cold sender on a request for a permit. */
public sealed interface ColdPermitDecision {

  /** The requester may use one slot. */
  record Granted(ColdPermit permit) implements ColdPermitDecision {}

  /** No slot is free, or this daemon is not a sender of the group. */
  record Refused(ResultCode code, String reason) implements ColdPermitDecision {}
}
