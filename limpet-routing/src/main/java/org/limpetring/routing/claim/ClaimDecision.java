package org.limpetring.routing.claim;

import org.limpetring.base.ResultCode;

/** Answer to a claim request. */
public sealed interface ClaimDecision {

  /** The claim is durable; the request alone may run, once. */
  record Granted() implements ClaimDecision {}

  /** The request must not run. */
  record Denied(ResultCode code) implements ClaimDecision {}
}
