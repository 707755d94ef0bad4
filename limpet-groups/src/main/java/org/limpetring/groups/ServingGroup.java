package org.limpetring.groups;

import java.util.List;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;

/**
 * Group as the request path sees it; immutable and replaced as a whole.
 *
 * @param entryAddress {@code ip:port} that takes requests
 * @param incarnation joined incarnations of all members; changes when any of them restarts
 * @param cold whether only the cold budget applies
 * @param reportedLoad requests running and waiting by the last report, which lags
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
