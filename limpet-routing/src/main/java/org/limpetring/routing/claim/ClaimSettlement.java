package org.limpetring.routing.claim;

import org.limpetring.base.RunState;

/**
 * What became of a claim; a request that did not run and never will frees its key.
 *
 * @param attempt the request that held or asked for the claim
 */
public record ClaimSettlement(ClaimId id, String attempt, RunState runState) {}
