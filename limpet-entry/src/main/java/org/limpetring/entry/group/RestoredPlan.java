package org.limpetring.entry.group;

import org.limpetring.entry.model.Membership;

/**
 * What a planner knows about a plan that it took over, or wrote again, in a new era of the store.
 *
 * <p>Groups may exist that the plan does not list: those whose epochs were assigned after the copy
 * was made, or by another planner since.
 *
 * @param knownEpoch highest epoch that the plan had assigned; later groups are not in it
 * @param firstEpoch epoch after which this planner assigns its own
 */
record RestoredPlan(long knownEpoch, long firstEpoch, long atMs) {

  /**
   * Terms and epochs of an era begin at its number shifted by so many bits, so that none of an
   * earlier era is used again. An era has room for 16 million of each; the numbers of a hundred
   * eras fit into 32 bits.
   */
  private static final int ERA_SHIFT = 24;

  /** Number that all terms and epochs of an era exceed; 0 in era 0. */
  static long floor(long era) {
    return era << ERA_SHIFT;
  }

  /** Whether a group with this epoch may exist though the plan does not list it. */
  boolean mayLack(Membership membership) {
    return membership.epoch() > knownEpoch && membership.epoch() <= firstEpoch;
  }
}
