package org.limpetring.standin.engine;

import java.util.List;

/**
 * Group that an engine belongs to.
 *
 * @param token identifies this membership; changes with each obeyed JOIN
 * @param loadedAtMs time at which its part is loaded, or {@link Long#MAX_VALUE} until known
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

  /** The same place in the same group by a newer order; work in progress goes on. */
  Membership renew(long newEpoch, boolean isDraining) {
    return new Membership(token, group, newEpoch, model, rank, members, isDraining, loadedAtMs);
  }

  Membership loadedAt(long timeMs) {
    return new Membership(token, group, epoch, model, rank, members, draining, timeMs);
  }

  boolean isSamePlace(Order order) {
    return group.equals(order.group())
        && model.equals(order.model())
        && rank == order.rank()
        && members.equals(order.members());
  }

  boolean isSameGroup(Membership other) {
    return group.equals(other.group) && members.equals(other.members);
  }
}
