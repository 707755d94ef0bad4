package org.limpetring.entry.group;

import java.util.List;

/**
 * Demand of all callers for one model.
 *
 * @param requestsPerMinute rate of callers' requests
 * @param slotsNeeded slots that these requests occupy on average; 0 if unknown
 * @param unmetPerMinute rate of the requests that were refused for want of a slot or answered late,
 *     by rank, the most urgent first
 */
public record ModelDemand(int requestsPerMinute, double slotsNeeded, List<Integer> unmetPerMinute) {

  /** Rank of a model without unmet demand. */
  static final int NO_RANK = Integer.MAX_VALUE;

  /**
   * Part of a model's requests that must be unmet before it counts as short. A few in a hundred are
   * late in calm conditions as well, when members fail or several long prompts meet.
   */
  static final double SHORT_RATIO = 0.1;

  /**
   * Load of a model's groups below which its unmet requests have other causes than missing groups,
   * such as slow hosts, so that more groups would not help.
   */
  static final double MIN_SHORT_LOAD = 0.5;

  /** Bounds the estimate of what is missing while hardly any request is served. */
  private static final double MAX_RATIO = 0.75;

  private static final double URGENT_WEIGHT = 2;

  /** Makes a defensive copy of the rates. */
  public ModelDemand {
    unmetPerMinute = List.copyOf(unmetPerMinute);
  }

  /** Demand of which only the slots are known. */
  static ModelDemand ofSlots(double slotsNeeded) {
    return new ModelDemand(0, slotsNeeded, List.of());
  }

  /** Part of the requests that is unmet, from 0 to 1. */
  double unmetRatio() {
    return unmetRatio(Integer.MAX_VALUE);
  }

  /** Part of the requests that is unmet and of this rank or a more urgent one, from 0 to 1. */
  private double unmetRatio(int maxRank) {
    long unmet = 0;
    for (int rank = 0; rank < unmetPerMinute.size() && rank <= maxRank; rank++) {
      unmet += unmetPerMinute.get(rank);
    }
    // the two rates are announced apart, so the sum may exceed the demand for a moment
    return unmet == 0 ? 0 : Math.min(1.0, unmet / (double) Math.max(1, requestsPerMinute));
  }

  /** Most urgent rank of which a considerable part is unmet, or {@link #NO_RANK}. */
  int urgentRank() {
    for (int rank = 0; rank < unmetPerMinute.size(); rank++) {
      if (unmetRatio(rank) >= SHORT_RATIO) {
        return rank;
      }
    }
    return NO_RANK;
  }

  /**
   * Groups that would meet the demand if the groups that serve now meet all but the unmet part of
   * it. This holds also where objectives are tight and a group meets them only while it is far from
   * full.
   */
  int groupsWanted(int serving) {
    double ratio = unmetRatio();
    return (int) Math.ceil(Math.max(1, serving) / (1 - Math.min(MAX_RATIO, ratio)) - 1e-9);
  }

  /** Slots needed, where unmet demand counts more, the more urgent it is. */
  double weightedSlots() {
    double weight = 1;
    double previous = 0;
    for (int rank = 0; rank < unmetPerMinute.size(); rank++) {
      double ratio = unmetRatio(rank);
      weight += URGENT_WEIGHT / (1 << rank) * (ratio - previous);
      previous = ratio;
    }
    return slotsNeeded * weight;
  }

  /** Whether there are requests but no run times yet, so that the needed slots are unknown. */
  boolean isUnknown() {
    return requestsPerMinute > 0 && slotsNeeded <= 0;
  }
}
