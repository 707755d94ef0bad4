package org.limpetring.tables;

import org.limpetring.base.CallerId;

/**
 * Team that may send requests.
 *
 * @param name team
 * @param keySha256 lower-case hexadecimal SHA-256 of its bearer key
 * @param weight share of capacity under contention, relative to other teams
 */
public record Caller(CallerId name, String keySha256, int weight) {}
