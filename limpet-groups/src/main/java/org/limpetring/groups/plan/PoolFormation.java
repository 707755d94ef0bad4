package org.limpetring.groups.plan;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.PlannedGroup.State;
import org.limpetring.tables.Pool;

/** Plans the groups of one pool within one fabric domain. */
final class PoolFormation {

  private final Pool pool;
  private final PlannerInput input;
  private final DomainHosts hosts;
  private final PlannerPolicy policy;
  private final GroupPlanner.History history;
  private final GroupRetirement retirement;
  private final long nowMs;
  private final Set<HostId> candidates;
  private final PoolQuota quotas;
  private final int quota;

  PoolFormation(
      Pool pool,
      PlannerInput input,
      DomainHosts hosts,
      PlannerPolicy policy,
      GroupPlanner.History history,
      long nowMs) {
    this.pool = pool;
    this.input = input;
    this.hosts = hosts;
    this.policy = policy;
    this.history = history;
    this.nowMs = nowMs;
    this.candidates = new HashSet<>(pool.hosts());
    this.retirement = new GroupRetirement(hosts, policy, history, nowMs);
    this.quotas = history.shortfalls().quota(pool, input, policy.shortfallTimeoutMs(), nowMs);
    this.quota = quotas.of(input.plan().domain());
  }

  void form(PlanDraft draft) {
    for (PlannedGroup group : draft.groups(pool.name())) {
      review(draft, group);
    }
    repair(draft);
    reopen(draft);
    formNewGroups(draft);
    stopSurplus(draft);
    if (policy.replacesLoadingMembers()) {
      replaceLoadingMembers(draft);
    }
    if (policy.preloadsSpares()) {
      preloadSpares(draft);
    }
  }

  private void review(PlanDraft draft, PlannedGroup group) {
    if (group.state() == State.STANDBY) {
      reviewStandby(draft, group);
      return;
    }
    if (hasMember(group, HostCondition.OUT)) {
      if (group.state() == State.SERVING) {
        draft.setState(group, State.DRAINING, "failure domain is out of service");
      }
      return;
    }
    if (hasMember(group, HostCondition.RETIRING)) {
      retirement.retire(draft, group, "a member is leaving or out of service");
      return;
    }
    if (!fitsPool(group)) {
      boolean mayStop =
          group.state() == State.DRAINING || (isNoneDraining(draft) && tryAcquireChange());
      if (mayStop) {
        retirement.retire(draft, group, "pool configuration changed");
      }
      return;
    }
    if (group.state() == State.DRAINING && hasMember(group, HostCondition.LOST)) {
      draft.remove(group, "a member was lost while draining");
    }
  }

  private void reviewStandby(PlanDraft draft, PlannedGroup group) {
    HostId spare = group.entry();
    boolean isNeeded =
        policy.preloadsSpares()
            && group.model().equals(pool.model())
            && candidates.contains(spare)
            && (hosts.condition(spare) == HostCondition.USABLE
                || hosts.condition(spare) == HostCondition.PAUSED);
    if (!isNeeded) {
      draft.remove(group, "standby no longer needed");
    }
  }

  /** Puts each spare without the weights into a standby group of its own, so that it loads them. */
  private void preloadSpares(PlanDraft draft) {
    for (HostId spare : freeHosts(draft)) {
      if (!draft.isAssigned(spare) && !hosts.hasWeights(spare, pool.model())) {
        draft.addStandby(pool, spare);
      }
    }
  }

  /** Replaces lost members with free hosts, then with hosts of other incomplete groups. */
  private void repair(PlanDraft draft) {
    List<PlannedGroup> incomplete = incompleteGroups(draft);
    while (!incomplete.isEmpty()) {
      PlannedGroup target = incomplete.remove(0);
      int needed = lostMembers(target).size();
      int free = freeHosts(draft).size();
      List<PlannedGroup> donors =
          policy.dissolvesIncompleteGroups() ? donors(incomplete, needed - free) : List.of();
      int donated = donors.stream().mapToInt(donor -> usableMembers(donor).size()).sum();
      if (free + donated < needed) {
        return;
      }
      for (PlannedGroup donor : donors) {
        incomplete.remove(donor);
        draft.remove(donor, "its hosts are needed by " + target.id());
      }
      replaceLostMembers(draft, target);
    }
  }

  private void replaceLostMembers(PlanDraft draft, PlannedGroup target) {
    PlannedGroup current = target;
    for (HostId lost : lostMembers(target)) {
      HostId spare = freeHosts(draft).get(0);
      current = draft.replaceMember(current, lost, spare, "lost");
    }
  }

  /**
   * Selects incomplete groups, those with most lost members first, until they provide {@code
   * needed} hosts.
   */
  private List<PlannedGroup> donors(List<PlannedGroup> incomplete, int needed) {
    List<PlannedGroup> donors = new ArrayList<>();
    int donated = 0;
    for (int index = incomplete.size() - 1; index >= 0 && donated < needed; index--) {
      donors.add(incomplete.get(index));
      donated += usableMembers(incomplete.get(index)).size();
    }
    return donors;
  }

  /** Returns draining groups to service at a limited rate; their hosts still have the weights. */
  private void reopen(PlanDraft draft) {
    int serving = countServing(draft);
    for (PlannedGroup group : draft.groups(pool.name())) {
      boolean mayReopen =
          group.state() == State.DRAINING
              && fitsPool(group)
              && group.members().stream()
                  .allMatch(member -> hosts.condition(member) == HostCondition.USABLE);
      if (!mayReopen) {
        continue;
      }
      if (serving >= quota) {
        retirement.retire(draft, group, "more groups than wanted");
      } else if (tryAcquireChange()) {
        draft.setState(group, State.SERVING, "returned to service");
        serving++;
      }
    }
  }

  private void formNewGroups(PlanDraft draft) {
    int planned = countServing(draft) + countReopenable(draft);
    while (planned < quota) {
      List<HostId> free = freeHosts(draft);
      if (free.size() < pool.groupSize()) {
        return;
      }
      draft.add(pool, free.subList(0, pool.groupSize()));
      planned++;
    }
  }

  private void stopSurplus(PlanDraft draft) {
    int surplus = countServing(draft) - quota;
    if (surplus <= 0) {
      return;
    }
    for (PlannedGroup group : incompleteGroups(draft)) {
      if (surplus > 0) {
        draft.remove(group, "incomplete, and more groups than wanted");
        surplus--;
      }
    }
    if (surplus > 0 && otherDomainsMeetQuota() && tryAcquireChange()) {
      List<PlannedGroup> serving = servingGroups(draft);
      draft.setState(serving.get(serving.size() - 1), State.DRAINING, "more groups than wanted");
    }
  }

  /** Replaces members that are still loading the weights with free hosts that have them. */
  private void replaceLoadingMembers(PlanDraft draft) {
    Deque<HostId> preloadedHosts = new ArrayDeque<>(freeHosts(draft));
    preloadedHosts.removeIf(host -> !hosts.hasWeights(host, pool.model()));
    for (PlannedGroup group : servingGroups(draft)) {
      PlannedGroup current = group;
      for (HostId member : group.members()) {
        if (preloadedHosts.isEmpty()) {
          return;
        }
        if (isLoading(member)) {
          HostId preloaded = preloadedHosts.remove();
          current =
              draft.replaceMember(
                  current, member, preloaded, "replacement already has the weights");
        }
      }
    }
  }

  private boolean isLoading(HostId member) {
    @Nullable MemberReport report = hosts.freshReport(member);
    return report != null && !report.ready() && !report.heldModels().contains(pool.model());
  }

  /** Usable hosts of the pool without a group, those that have the weights first. */
  private List<HostId> freeHosts(PlanDraft draft) {
    return hosts.all().stream()
        .filter(host -> candidates.contains(host) && !draft.isAssigned(host))
        .filter(host -> hosts.condition(host) == HostCondition.USABLE)
        .sorted(
            Comparator.comparing((HostId host) -> !hosts.hasWeights(host, pool.model()))
                .thenComparing(host -> host))
        .toList();
  }

  /** Serving groups with a lost member, those with fewest lost members first. */
  private List<PlannedGroup> incompleteGroups(PlanDraft draft) {
    return new ArrayList<>(
        servingGroups(draft).stream()
            .filter(group -> hasMember(group, HostCondition.LOST))
            .filter(group -> !input.serving().contains(group.id()))
            .sorted(
                Comparator.comparingInt((PlannedGroup group) -> lostMembers(group).size())
                    .thenComparing(PlannedGroup::id))
            .toList());
  }

  private List<PlannedGroup> servingGroups(PlanDraft draft) {
    return draft.groups(pool.name()).stream()
        .filter(group -> group.state() == State.SERVING)
        .toList();
  }

  private int countServing(PlanDraft draft) {
    return servingGroups(draft).size();
  }

  private int countReopenable(PlanDraft draft) {
    return (int)
        draft.groups(pool.name()).stream()
            .filter(group -> group.state() == State.DRAINING && fitsPool(group))
            .filter(group -> !hasMember(group, HostCondition.RETIRING))
            .count();
  }

  private boolean isNoneDraining(PlanDraft draft) {
    return draft.groups(pool.name()).stream().noneMatch(group -> group.state() == State.DRAINING);
  }

  private boolean tryAcquireChange() {
    return history.tryAcquireChange(policy.changeIntervalMs(), nowMs);
  }

  private List<HostId> lostMembers(PlannedGroup group) {
    return members(group, HostCondition.LOST);
  }

  private List<HostId> usableMembers(PlannedGroup group) {
    return members(group, HostCondition.USABLE);
  }

  private List<HostId> members(PlannedGroup group, HostCondition condition) {
    return group.members().stream().filter(member -> hosts.condition(member) == condition).toList();
  }

  private boolean hasMember(PlannedGroup group, HostCondition condition) {
    return !members(group, condition).isEmpty();
  }

  private boolean fitsPool(PlannedGroup group) {
    return group.members().size() == pool.groupSize()
        && group.model().equals(pool.model())
        && candidates.containsAll(group.members());
  }

  private boolean otherDomainsMeetQuota() {
    for (Plan other : input.others()) {
      if (countServingIn(other) < quotas.of(other.domain())) {
        return false;
      }
    }
    Set<FabricDomain> planned = new HashSet<>();
    input.others().forEach(plan -> planned.add(plan.domain()));
    planned.add(input.plan().domain());
    return quotas.domains().stream()
        .allMatch(domain -> quotas.of(domain) == 0 || planned.contains(domain));
  }

  private long countServingIn(Plan plan) {
    return plan.groups().stream()
        .filter(group -> group.pool().equals(pool.name()))
        .filter(group -> input.serving().contains(group.id()))
        .count();
  }
}
