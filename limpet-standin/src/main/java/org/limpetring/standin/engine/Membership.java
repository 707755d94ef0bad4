package org.limpetring.standin.engine;

import java.util.List;

/**
 * Membership of an engine in a group.
 *
 * @param token identity of this membership; replaced by each JOIN that changes the assignment
 * @param loadedAtMs time at which its part was loaded, or {@link Long#MAX_VALUE} before that
 */
record Membership(
    Object token,
    String group,
    long epoch,
    String model,
    int rank,
    List<String> members,
    boolean draining,
    long loadedAtMs) {

  /** Same assignment under the epoch of a newer order; work in progress continues. */
  Membership withEpoch(long newEpoch, boolean isDraining) {
    return new Membership(token, group, newEpoch, model, rank, members, isDraining, loadedAtMs);
  }

  Membership withLoadedAt(long timeMs) {
    return new Membership(token, group, epoch, model, rank, members, draining, timeMs);
  }

  boolean isSameAssignment(Order order) {
    return group.equals(order.group())
        && model.equals(order.model())
        && rank == order.rank()
        && members.equals(order.members());
  }

  boolean isSameGroup(Membership other) {
    return group.equals(other.group) && members.equals(other.members);
  }
}
