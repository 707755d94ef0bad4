package org.limpetring.groups;

import java.util.List;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;

/**
 * Group as seen by the request path; immutable and replaced as a whole.
 *
 * @param entryAddress {@code ip:port} that receives requests
 * @param incarnation incarnations of all members, concatenated; changes when any of them restarts
 * @param cold whether the group is limited to the cold budget
 * @param reportedLoad requests running and waiting according to the last report, so possibly out of
 *     date
 */
public record ServingGroup(
    GroupId id,
    PoolName pool,
    long epoch,
    List<HostId> members,
    String entryAddress,
    FailureDomain failureDomain,
    String incarnation,
    boolean cold,
    int reportedLoad) {

  /** Copies the members. */
  public ServingGroup {
    members = List.copyOf(members);
  }
}
