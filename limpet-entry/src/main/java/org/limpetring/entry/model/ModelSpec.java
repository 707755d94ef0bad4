package org.limpetring.entry.model;

/**
 * Model that groups of an engine pool serve.
 *
 * @param groupSize hosts in one group
 * @param share expected share of the pool's load, 0 to 1
 * @param pace slowdown factor on all times of a group
 * @param loadMs time to load the weights from the weight store
 * @param warmMs time to load weights that are staged on the host
 */
public record ModelSpec(
    String name, int groupSize, double share, double pace, long loadMs, long warmMs) {}
