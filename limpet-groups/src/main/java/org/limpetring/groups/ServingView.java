package org.limpetring.groups;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.Invariant;
import org.limpetring.groups.monitor.MergedGroup;

/** Immutable snapshot of all groups; each group may serve only until its confirmation expires. */
public final class ServingView {

  /** Empty view, used before the first observation. */
  public static final ServingView EMPTY = new ServingView(List.of());

  private final List<MergedGroup> groups;

  private ServingView(List<MergedGroup> groups) {
    this.groups = List.copyOf(groups);
  }

  /** Builds a view. If two groups share a host, only the one with the higher epoch may serve. */
  public static ServingView of(List<MergedGroup> merged) {
    List<MergedGroup> sorted = new ArrayList<>(merged);
    sorted.sort(
        Comparator.comparingLong((MergedGroup group) -> group.group().epoch())
            .reversed()
            .thenComparing(group -> group.group().id()));
    Set<HostId> assigned = new HashSet<>();
    List<MergedGroup> resolved = new ArrayList<>();
    for (MergedGroup group : sorted) {
      boolean overlaps = group.group().members().stream().anyMatch(assigned::contains);
      resolved.add(
          overlaps
              ? MergedGroup.closed(group.group(), "a member belongs to a newer group")
              : group);
      assigned.addAll(group.group().members());
    }
    return new ServingView(resolved);
  }

  /** Groups that may serve at {@code nowMs}. */
  public List<ServingGroup> servingAt(long nowMs) {
    List<ServingGroup> serving = new ArrayList<>();
    Set<HostId> seen = new HashSet<>();
    for (MergedGroup group : groups) {
      if (!group.servesAt(nowMs)) {
        continue;
      }
      for (HostId member : group.group().members()) {
        Invariant.HOST_IN_ONE_GROUP.check(seen.add(member), member + " serves in two groups");
      }
      serving.add(group.group());
    }
    return serving;
  }

  /** Whether one group may serve at {@code nowMs}; used for the check right before dispatch. */
  public boolean serves(GroupId id, long epoch, long nowMs) {
    for (MergedGroup group : groups) {
      if (group.group().id().equals(id)) {
        return group.group().epoch() == epoch && group.servesAt(nowMs);
      }
    }
    return false;
  }

  /** All groups, including those that do not serve. */
  public List<MergedGroup> all() {
    return groups;
  }
}
