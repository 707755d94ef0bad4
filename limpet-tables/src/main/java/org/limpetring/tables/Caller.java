package org.limpetring.tables;

import org.limpetring.base.CallerId;

/**
 * Team that is allowed to send requests.
 *
 * @param name name of the team
 * @param keySha256 lower-case hexadecimal SHA-256 of its bearer key
 * @param weight relative share of capacity under contention
 */
public record Caller(CallerId name, String keySha256, int weight) {}
