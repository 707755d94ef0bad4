package org.limpetring.groups;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.HostId;
import org.limpetring.base.Invariant;

/**
 * All groups of one fabric domain; stored as one object and changed by conditional update only.
 *
 * @param epoch grows by one with each write
 * @param writer attempt that wrote it, by which a writer knows its own write after a lost answer
 */
public record Plan(FabricDomain domain, long epoch, String writer, List<PlannedGroup> groups) {

  /** Copies the groups and asserts that no host stands in two of them. */
  public Plan {
    groups = List.copyOf(groups);
    Set<HostId> seen = new HashSet<>();
    for (PlannedGroup group : groups) {
      for (HostId member : group.members()) {
        Invariant.HOST_IN_ONE_GROUP.check(seen.add(member), member + " in plan of " + domain);
      }
    }
  }

  /** Plan of a fabric domain without a group. */
  public static Plan empty(FabricDomain domain) {
    return new Plan(domain, 0, "", List.of());
  }
}
