package org.limpetring.groups;

import java.util.List;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;

/**
 * Order to the engine on one host.
 *
 * @param group group to belong to, which must be named even when leaving it
 * @param epoch fencing number; an engine that checks refuses one lower than the highest seen
 * @param rank place among the members, from 0
 */
public record MemberOrder(
    Kind kind,
    HostId host,
    GroupId group,
    long epoch,
    String model,
    int rank,
    List<HostId> members) {

  /** Copies the members. */
  public MemberOrder {
    members = List.copyOf(members);
  }

  /** What the engine shall do. */
  public enum Kind {
    /** Load the model and serve as a member of the group. */
    JOIN,
    /** Take no new request and finish those in progress. */
    DRAIN,
    /** Belong to no group. */
    RELEASE
  }
}
