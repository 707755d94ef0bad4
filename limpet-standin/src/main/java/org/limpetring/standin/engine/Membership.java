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

  Membership drain() {
    return new Membership(token, group, epoch, model, rank, members, true, loadedAtMs);
  }

  Membership undrain() {
    return new Membership(token, group, epoch, model, rank, members, false, loadedAtMs);
  }

  Membership loadedAt(long timeMs) {
    return new Membership(token, group, epoch, model, rank, members, draining, timeMs);
  }

  boolean isSame(Order order) {
    return group.equals(order.group()) && epoch == order.epoch();
  }
}
