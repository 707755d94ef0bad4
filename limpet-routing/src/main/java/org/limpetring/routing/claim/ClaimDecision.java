package org.limpetring.routing.claim;

import org.limpetring.base.ResultCode;

/** Decision on a claim request. */
public sealed interface ClaimDecision {

  /** The claim is durable; only this request may run, and only once. */
  record Granted() implements ClaimDecision {}

  /** The request must not run. */
  record Denied(ResultCode code) implements ClaimDecision {}
}
