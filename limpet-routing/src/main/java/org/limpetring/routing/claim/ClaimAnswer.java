package org.limpetring.routing.claim;

import org.limpetring.base.ResultCode;

/** Answer to a claim request. */
public sealed interface ClaimAnswer {

  /** The claim is durable; the request alone may run, once. */
  record Granted() implements ClaimAnswer {}

  /** The request must not run. */
  record Denied(ResultCode code) implements ClaimAnswer {}
}
