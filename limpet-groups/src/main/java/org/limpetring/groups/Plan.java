package org.limpetring.groups;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.HostId;
import org.limpetring.base.Invariant;

/**
 * All groups of one fabric domain; stored as one object and changed only by conditional updates.
 *
 * @param epoch increases with each write
 * @param writer identifier of the write attempt; lets a writer recognize its own write after a lost
 *     response
 */
public record Plan(FabricDomain domain, long epoch, String writer, List<PlannedGroup> groups) {

  /** Copies the groups and asserts that no host is in two of them. */
  public Plan {
    groups = List.copyOf(groups);
    Set<HostId> seen = new HashSet<>();
    for (PlannedGroup group : groups) {
      for (HostId member : group.members()) {
        Invariant.HOST_IN_ONE_GROUP.check(seen.add(member), member + " in plan of " + domain);
      }
    }
  }

  /** Empty plan of a fabric domain. */
  public static Plan empty(FabricDomain domain) {
    return new Plan(domain, 0, "", List.of());
  }
}
