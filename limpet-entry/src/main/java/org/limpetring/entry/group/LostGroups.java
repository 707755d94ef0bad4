package org.limpetring.entry.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.EngineStatus;
import org.limpetring.entry.model.MemberState;
import org.limpetring.entry.model.Membership;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.PlannedGroup;
import org.limpetring.entry.model.PlannedGroup.Phase;
import org.limpetring.entry.model.Upstream;

/**
 * Finds groups that serve but are missing in a plan from a restored store.
 *
 * <p>Load pattern: the store comes back from a copy that is older than the last groups, and the
 * planner that formed them is gone. Its successor would order their hosts to leave, though they
 * serve.
 */
final class LostGroups {

  private LostGroups() {}

  /**
   * Returns the groups of a service whose head is listed as open and all of whose members are
   * listed, in the order of their ranks.
   *
   * @param assignedHosts members of planned groups
   */
  static List<PlannedGroup> find(
      RestoredPlan restored,
      String service,
      EngineSpec engine,
      Iterable<Upstream> listed,
      Set<String> assignedHosts) {
    List<PlannedGroup> found = new ArrayList<>();
    for (Upstream head : listed) {
      Membership membership = head.membership();
      if (membership == null
          || !head.service().equals(service)
          || membership.rank() != 0
          || membership.state() != MemberState.OPEN
          || !restored.mayLack(membership)) {
        continue;
      }
      EngineStatus status = head.engine();
      String model = status == null ? null : status.model();
      ModelSpec spec = model == null ? null : engine.model(model);
      if (spec == null) {
        continue;
      }
      List<String> members = members(membership, service, spec.groupSize(), listed);
      if (members != null && members.stream().noneMatch(assignedHosts::contains)) {
        found.add(
            new PlannedGroup(
                membership.group(),
                membership.epoch(),
                service,
                spec.name(),
                members,
                Phase.OPENED));
      }
    }
    return found;
  }

  /** Returns the ids of all members by rank; null if one is missing or a rank is taken twice. */
  private static @Nullable List<String> members(
      Membership group, String service, int size, Iterable<Upstream> listed) {
    @Nullable String[] byRank = new String[size];
    int count = 0;
    for (Upstream upstream : listed) {
      Membership membership = upstream.membership();
      if (membership == null
          || !membership.isOf(group.group(), group.epoch())
          || !upstream.service().equals(service)) {
        continue;
      }
      int rank = membership.rank();
      if (rank < 0 || rank >= size || byRank[rank] != null) {
        return null;
      }
      byRank[rank] = upstream.id();
      count++;
    }
    if (count < size) {
      return null;
    }
    List<String> members = new ArrayList<>(size);
    for (String id : byRank) {
      if (id != null) {
        members.add(id);
      }
    }
    return members;
  }
}
