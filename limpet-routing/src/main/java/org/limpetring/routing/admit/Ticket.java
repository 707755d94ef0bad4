package org.limpetring.routing.admit;

import java.util.Set;
import org.limpetring.base.CallerId;
import org.limpetring.base.GroupId;

/**
 * Request that seeks admission.
 *
 * @param number tells tickets of one gate apart
 * @param weight share of the caller, at least 1
 * @param deadlineMs monotonic time by which the whole answer is wanted
 * @param excluded groups that the request must not go to
 * @param affinity digest of the start of the prompt, or 0 where any group is as good
 */
public record Ticket(
    long number,
    CallerId caller,
    int weight,
    long deadlineMs,
    Set<GroupId> excluded,
    long affinity) {

  /** Copies the set. */
  public Ticket {
    excluded = Set.copyOf(excluded);
    if (weight < 1) {
      throw new IllegalArgumentException("weight " + weight);
    }
  }
}
