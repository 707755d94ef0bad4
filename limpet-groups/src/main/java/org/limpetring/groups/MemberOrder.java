package org.limpetring.groups;

import java.util.List;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;

/**
 * Order for the engine on one host.
 *
 * @param group group that the order concerns; also set for {@link Kind#RELEASE}
 * @param epoch fencing token; an engine that checks fencing rejects a token lower than the highest
 *     it has accepted
 * @param rank index of the host among the members, from 0
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

  /** Action that the engine has to take. */
  public enum Kind {
    /** Load the model and serve as a member of the group. */
    JOIN,
    /** Accept no new requests and finish those in progress. */
    DRAIN,
    /** Leave the group. */
    RELEASE
  }
}
