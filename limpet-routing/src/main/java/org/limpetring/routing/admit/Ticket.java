package org.limpetring.routing.admit;

import java.util.Set;
import org.limpetring.base.CallerId;
import org.limpetring.base.GroupId;

/**
 * Request for admission.
 *
 * @param number number that is unique within one gate
 * @param weight weight of the caller in the fair queue, at least 1
 * @param deadlineMs monotonic time by which the complete response is due
 * @param excluded groups that the request must not go to
 * @param affinity digest of the start of the prompt, or 0 for no affinity
 */
public record Ticket(
    long number,
    CallerId caller,
    int weight,
    long deadlineMs,
    Set<GroupId> excluded,
    long affinity) {

  /** Copies {@code excluded} defensively and checks the weight. */
  public Ticket {
    excluded = Set.copyOf(excluded);
    if (weight < 1) {
      throw new IllegalArgumentException("weight must be at least 1: " + weight);
    }
  }
}
