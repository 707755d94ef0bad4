package org.limpetring.groups;

import java.util.List;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;

/**
 * Group as planned.
 *
 * @param epoch plan epoch at which its members were last changed; the fencing number of its orders
 * @param members hosts in rank order; the first takes the callers' requests
 */
public record PlannedGroup(GroupId id, PoolName pool, long epoch, List<HostId> members) {

  /** Copies the members, of which there is at least one. */
  public PlannedGroup {
    members = List.copyOf(members);
    if (members.isEmpty()) {
      throw new IllegalArgumentException("group without members: " + id);
    }
  }

  /** Host that takes the callers' requests. */
  public HostId entry() {
    return members.get(0);
  }
}
