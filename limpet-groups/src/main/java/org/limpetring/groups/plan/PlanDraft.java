package org.limpetring.groups.plan;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.PlannedGroup.State;
import org.limpetring.tables.Pool;

/** Mutable draft of the next plan; changed groups get the epoch of the new plan. */
final class PlanDraft {

  private static final int MAX_NAME_PART_LENGTH = 40;

  private final Plan current;
  private final long epoch;
  private final List<PlannedGroup> groups;
  private final Set<HostId> assigned = new HashSet<>();
  private final List<String> reasons = new ArrayList<>();
  private int added;

  PlanDraft(Plan current, long epoch) {
    this.current = current;
    this.epoch = epoch;
    this.groups = new ArrayList<>(current.groups());
    for (PlannedGroup group : groups) {
      if (group.state() != State.STANDBY) {
        assigned.addAll(group.members());
      }
    }
  }

  /** Groups of one pool, in plan order. */
  List<PlannedGroup> groups(PoolName pool) {
    return groups.stream().filter(group -> group.pool().equals(pool)).toList();
  }

  List<PlannedGroup> groups() {
    return List.copyOf(groups);
  }

  /** Whether the host is a member of a serving or draining group. */
  boolean isAssigned(HostId host) {
    return assigned.contains(host);
  }

  void add(Pool pool, List<HostId> members) {
    add(pool, members, State.SERVING);
  }

  void addStandby(Pool pool, HostId spare) {
    if (groups.stream().noneMatch(group -> group.entry().equals(spare))) {
      add(pool, List.of(spare), State.STANDBY);
    }
  }

  private void add(Pool pool, List<HostId> members, State state) {
    members.forEach(this::removeStandby);
    GroupId id =
        new GroupId(
            abbreviated(pool.name().value())
                + "/"
                + abbreviated(current.domain().value())
                + "/"
                + epoch
                + "."
                + added++);
    groups.add(new PlannedGroup(id, pool.name(), pool.model(), epoch, state, members));
    if (state != State.STANDBY) {
      assigned.addAll(members);
    }
    reasons.add("formed " + id);
  }

  PlannedGroup setState(PlannedGroup group, State state, String reason) {
    PlannedGroup changed = group.withState(state, epoch);
    groups.set(groups.indexOf(group), changed);
    reasons.add(group.id() + " " + state + ": " + reason);
    return changed;
  }

  PlannedGroup replaceMember(PlannedGroup group, HostId old, HostId replacement, String reason) {
    removeStandby(replacement);
    List<HostId> members = new ArrayList<>(group.members());
    members.set(members.indexOf(old), replacement);
    PlannedGroup changed = group.withMembers(members, epoch);
    groups.set(groups.indexOf(group), changed);
    assigned.remove(old);
    assigned.add(replacement);
    reasons.add(group.id() + " " + old + " replaced by " + replacement + ": " + reason);
    return changed;
  }

  /**
   * Gives the group a new epoch, so that its orders supersede those that its members have applied.
   */
  void renew(PlannedGroup group, String reason) {
    setState(group, group.state(), reason);
  }

  void remove(PlannedGroup group, String reason) {
    groups.remove(group);
    assigned.removeAll(group.members());
    reasons.add("dissolved " + group.id() + ": " + reason);
  }

  PlannerDecision toDecision() {
    if (reasons.isEmpty()) {
      return new PlannerDecision.Keep();
    }
    return new PlannerDecision.Replace(new Plan(current.domain(), epoch, "", groups), reasons);
  }

  private void removeStandby(HostId host) {
    groups.removeIf(group -> group.state() == State.STANDBY && group.members().contains(host));
  }

  private static String abbreviated(String name) {
    if (name.length() <= MAX_NAME_PART_LENGTH) {
      return name;
    }
    return name.substring(0, MAX_NAME_PART_LENGTH - 9) + "-" + Integer.toHexString(name.hashCode());
  }
}
