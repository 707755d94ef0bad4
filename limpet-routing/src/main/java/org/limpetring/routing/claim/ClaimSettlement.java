package org.limpetring.routing.claim;

import org.limpetring.base.RunState;

/**
 * Outcome of a claimed request. A request that did not run and never will frees its key.
 *
 * @param attempt id of the request that held or requested the claim
 */
public record ClaimSettlement(ClaimId id, String attempt, RunState runState) {}
