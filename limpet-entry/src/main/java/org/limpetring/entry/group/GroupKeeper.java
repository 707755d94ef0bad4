package org.limpetring.entry.group;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.DecisionLog;
import org.limpetring.entry.EntryMetrics;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.GroupPlan;
import org.limpetring.entry.model.MemberState;
import org.limpetring.entry.model.Membership;
import org.limpetring.entry.model.PlannedGroup;
import org.limpetring.entry.model.PlannedGroup.Phase;
import org.limpetring.entry.model.ServiceSpec;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.port.EngineControl;
import org.limpetring.entry.port.EngineOrder;
import org.limpetring.entry.port.OrderReply;
import org.limpetring.entry.port.ReportReply;

/**
 * The planner's work: forms groups, watches them, takes them apart, one step a tick.
 *
 * <p>A host is given to a new group only when the head of its old one has obeyed the order to leave
 * or is gone, or when the host itself has obeyed it. A head is opened only when each member is
 * listed as ready under the group's name and epoch.
 */
public final class GroupKeeper {

  /** What the keeper needs of the rest of the daemon. */
  public interface Surroundings {

    /** Upstreams as listed now. */
    Iterable<Upstream> upstreams();

    /** The listed upstream of that id, or null. */
    @Nullable Upstream upstream(String id);

    /** The upstream of that id that left the list lately, or null. */
    @Nullable Upstream departed(String id);

    /** Pools of the configuration in force. */
    Iterable<ServiceSpec> services();

    /** Whether callers have sent requests yet; loads are fast and free before. */
    boolean isTrafficSeen();

    /** Failure domains that are out of service. */
    Set<String> domainsOut();

    /** Whether the group's streams stand still, as this daemon or another sees it. */
    boolean isSuspected(PlannedGroup group);

    /** A suspicion was wrong. */
    void clearSuspicion(PlannedGroup group);

    /** A group takes no more requests. */
    void onGroupEnding(PlannedGroup group, String reason);
  }

  /** Pause between two rounds of questions to a suspected group. */
  private static final long PROBE_PAUSE_MS = 40;

  /** Pause between two questions to members that left the list. */
  private static final long DEPARTED_ASK_MS = 250;

  /** Probes in a row without an answer after which a member counts as lost. */
  private static final int SILENT_PROBES = 2;

  /** An order without a visible effect is sent again after this time. */
  private static final long REORDER_MS = 700;

  /** A forming group that takes this much longer than its load is given up. */
  private static final long FORM_SLACK_MS = 6_000;

  /** Others are told of an open group this long; their own watches show it by then. */
  private static final long TOLD_MS = 2_500;

  private static final String DEPARTED = " left the list";
  private static final String LEAVING = " is leaving";

  private final PlannerRole role;
  private final Surroundings surroundings;
  private final Clock clock;
  private final DecisionLog log;
  private final EngineOrders orders;
  private final HostProbes probes;
  private final HostSupply supply;
  private final GroupRelease release;
  private final Map<String, GroupWork> works = new LinkedHashMap<>();
  private boolean wasPlanner;
  private long lastEpoch;

  /** Keeper that acts while {@code role} is held. */
  public GroupKeeper(
      PlannerRole role,
      EngineControl engines,
      Surroundings surroundings,
      Clock clock,
      DecisionLog log,
      EntryMetrics metrics,
      long stallMs) {
    this.role = role;
    this.surroundings = surroundings;
    this.clock = clock;
    this.log = log;
    this.orders = new EngineOrders(role, engines, clock, log, metrics);
    this.probes = new HostProbes(engines, clock);
    this.supply = new HostSupply(surroundings, orders, probes, log);
    this.release = new GroupRelease(surroundings, orders, probes, clock, stallMs);
  }

  /** Heads' ids with group and epoch of groups that ended lately, for the other daemons. */
  public List<PlannedGroup> ending() {
    List<PlannedGroup> groups = new ArrayList<>();
    for (GroupWork work : works.values()) {
      if (work.group.phase() == Phase.ENDING) {
        groups.add(work.group);
      }
    }
    return groups;
  }

  /** Groups that opened lately, for the other daemons. */
  public List<PlannedGroup> opened() {
    long nowMs = clock.nowMs();
    List<PlannedGroup> groups = new ArrayList<>();
    for (GroupWork work : works.values()) {
      if (work.group.phase() == Phase.OPENED && nowMs - work.openedMs < TOLD_MS) {
        groups.add(work.group);
      }
    }
    return groups;
  }

  /** Takes one step of all groups. */
  public void tick() {
    if (!role.isPlanner()) {
      wasPlanner = false;
      works.clear();
      supply.reset();
      return;
    }
    long nowMs = clock.nowMs();
    if (!wasPlanner) {
      takeOver(nowMs);
    }
    for (GroupWork work : List.copyOf(works.values())) {
      step(work, nowMs);
    }
    probes.forgetOld(nowMs);
    if (!role.isCalling()) {
      plan(nowMs);
    }
  }

  private void takeOver(long nowMs) {
    wasPlanner = true;
    works.clear();
    GroupPlan plan = role.plan();
    if (plan == null) {
      return;
    }
    lastEpoch = plan.lastEpoch();
    for (PlannedGroup group : plan.groups()) {
      GroupWork work = new GroupWork(group, nowMs);
      work.mayBeOpen = true;
      works.put(group.name(), work);
      if (group.phase() == Phase.ENDING) {
        work.endingSinceMs = nowMs;
      }
    }
  }

  // one group

  private void step(GroupWork work, long nowMs) {
    switch (work.group.phase()) {
      case FORMING -> stepForming(work, nowMs);
      case OPENED -> stepOpened(work, nowMs);
      case ENDING -> release.step(work, nowMs);
    }
  }

  /** What is wrong with a member; that one left the list only if nothing else is. */
  private @Nullable String memberFault(GroupWork work) {
    String departed = null;
    for (String id : work.group.members()) {
      Upstream member = surroundings.upstream(id);
      if (member == null) {
        departed = id + DEPARTED;
        continue;
      }
      Long born = work.startedAtMs.putIfAbsent(id, member.startedAtMs());
      if (born != null && born != member.startedAtMs()) {
        return id + " started again";
      }
      if (member.isLeaving()) {
        return id + LEAVING;
      }
    }
    return departed;
  }

  private void stepForming(GroupWork work, long nowMs) {
    String fault = memberFault(work);
    if (fault != null) {
      end(work, fault, false, nowMs);
      return;
    }
    boolean isWhole = true;
    for (String id : work.group.members()) {
      Upstream member = surroundings.upstream(id);
      Membership membership = member == null ? null : member.membership();
      boolean isMember =
          membership != null && membership.isOf(work.group.name(), work.group.epoch());
      if (member != null && !isMember) {
        join(work, member, nowMs);
      }
      if (membership == null || !isMember || membership.state() == MemberState.JOINING) {
        isWhole = false;
      } else if (id.equals(work.group.head()) && membership.state() == MemberState.OPEN) {
        opened(work, nowMs);
        return;
      }
    }
    if (isWhole) {
      open(work, nowMs);
    } else if (nowMs - work.startedMs > formLimitMs(work.group)) {
      end(work, "did not form in time", false, nowMs);
    }
  }

  private long formLimitMs(PlannedGroup group) {
    EngineSpec engine = engine(group.service());
    var model = engine == null ? null : engine.model(group.model());
    return FORM_SLACK_MS + (model == null ? 0 : 4 * model.loadMs());
  }

  private @Nullable EngineSpec engine(String service) {
    for (ServiceSpec spec : surroundings.services()) {
      if (spec.name().equals(service)) {
        return spec.engine();
      }
    }
    return null;
  }

  private void join(GroupWork work, Upstream member, long nowMs) {
    Long sentMs = work.joinSentMs.get(member.id());
    if (sentMs != null && nowMs - sentMs < REORDER_MS) {
      return;
    }
    work.joinSentMs.put(member.id(), nowMs);
    PlannedGroup group = work.group;
    EngineOrder join =
        new EngineOrder.Join(group.name(), group.epoch(), group.model(), group.members());
    orders.send(
        member,
        join,
        reply -> {
          if (reply.isAccepted()) {
            // the list shows the effect; only a lost one is ordered again
            work.joinSentMs.put(member.id(), clock.nowMs() + 4 * REORDER_MS);
            supply.onJoined(member, group.model());
          } else if (reply == OrderReply.OUTDATED && isCurrent(work, Phase.FORMING)) {
            end(work, member.id() + " has seen a newer epoch", false, clock.nowMs());
          } else if (reply == OrderReply.GONE && isCurrent(work, Phase.FORMING)) {
            end(work, member.id() + " is gone", false, clock.nowMs());
          }
        });
  }

  private boolean isCurrent(GroupWork work, Phase phase) {
    return works.get(work.group.name()) == work && work.group.phase() == phase;
  }

  private void open(GroupWork work, long nowMs) {
    if (nowMs - work.openSentMs < REORDER_MS) {
      return;
    }
    Upstream head = surroundings.upstream(work.group.head());
    if (head == null) {
      return;
    }
    work.openSentMs = nowMs;
    work.mayBeOpen = true;
    orders.send(head, new EngineOrder.Open(work.group.name(), work.group.epoch()), reply -> {});
  }

  private void opened(GroupWork work, long nowMs) {
    work.group = work.group.withPhase(Phase.OPENED);
    work.openedMs = nowMs;
    work.mayBeOpen = true;
    log.write(
        LogEvent.GROUP_OPENED,
        "group",
        work.group.name(),
        "epoch",
        work.group.epoch(),
        "model",
        work.group.model(),
        "head",
        work.group.head(),
        "tookMs",
        nowMs - work.startedMs);
  }

  private void stepOpened(GroupWork work, long nowMs) {
    String fault = memberFault(work);
    if (fault != null && !fault.endsWith(DEPARTED)) {
      end(work, fault, fault.endsWith(LEAVING), nowMs);
      return;
    }
    Upstream head = surroundings.upstream(work.group.head());
    if (head == null) {
      endDepartedHead(work, nowMs);
      return;
    }
    Membership headState = head.membership();
    if (headState == null
        || !headState.isOf(work.group.name(), work.group.epoch())
        || headState.state() == MemberState.BROKEN
        || headState.state() == MemberState.READY) {
      end(work, "head is " + (headState == null ? "free" : headState.state()), false, nowMs);
      return;
    }
    for (String id : work.group.members()) {
      Upstream member = surroundings.upstream(id);
      Membership membership = member == null ? null : member.membership();
      boolean isMember =
          membership != null && membership.isOf(work.group.name(), work.group.epoch());
      if (member != null && !isMember) {
        end(work, id + " is in another group", false, nowMs);
        return;
      }
    }
    if (fault != null) {
      askDeparted(work, nowMs);
    }
    if (work.group.phase() == Phase.OPENED && surroundings.isSuspected(work.group)) {
      probe(work, nowMs);
    }
  }

  /**
   * Asks members that left the list whether they still belong to the group. Those that are only cut
   * off from the store serve on; one that does not answer, or answers otherwise, ends the group.
   */
  private void askDeparted(GroupWork work, long nowMs) {
    if (nowMs - work.departedAskedMs < DEPARTED_ASK_MS) {
      return;
    }
    work.departedAskedMs = nowMs;
    for (String id : work.group.members()) {
      if (surroundings.upstream(id) != null) {
        continue;
      }
      Upstream departed = surroundings.departed(id);
      if (departed == null) {
        end(work, id + DEPARTED, false, nowMs);
        return;
      }
      probes.ask(departed, reply -> onDepartedAsked(work, departed, reply));
    }
  }

  private void onDepartedAsked(GroupWork work, Upstream departed, ReportReply reply) {
    String id = departed.id();
    if (!isCurrent(work, Phase.OPENED)) {
      return;
    }
    if (reply instanceof ReportReply.Received told) {
      Membership membership = told.status().membership();
      boolean isMember =
          told.startedAtMs() == departed.startedAtMs()
              && membership != null
              && membership.isOf(work.group.name(), work.group.epoch());
      if (isMember) {
        work.silentProbes.remove(id);
        return;
      }
    }
    int silent = work.silentProbes.merge(id, 1, Integer::sum);
    if (!(reply instanceof ReportReply.TimedOut) || silent >= SILENT_PROBES) {
      end(work, id + DEPARTED, false, clock.nowMs());
    }
  }

  /**
   * Ends a group whose head left the list, so that nothing more is sent to it. One that still
   * answers is stopping or cut off from the store only: the work in progress may end well.
   */
  private void endDepartedHead(GroupWork work, long nowMs) {
    if (work.isDepartureProbed) {
      return;
    }
    work.isDepartureProbed = true;
    String fault = work.group.head() + DEPARTED;
    Upstream departed = surroundings.departed(work.group.head());
    if (departed == null) {
      end(work, fault, false, nowMs);
      return;
    }
    probes.ask(
        departed,
        reply -> {
          if (isCurrent(work, Phase.OPENED)) {
            end(work, fault, reply instanceof ReportReply.Received, clock.nowMs());
          }
        });
  }

  private void probe(GroupWork work, long nowMs) {
    if (work.probesOut > 0 || nowMs - work.probedMs < PROBE_PAUSE_MS) {
      return;
    }
    work.probedMs = nowMs;
    for (String id : work.group.members()) {
      Upstream member = surroundings.upstream(id);
      if (member == null) {
        continue;
      }
      work.probesOut++;
      probes.ask(member, reply -> onProbed(work, member, reply));
    }
  }

  private void onProbed(GroupWork work, Upstream member, ReportReply reply) {
    work.probesOut--;
    long nowMs = clock.nowMs();
    if (reply instanceof ReportReply.Received) {
      work.silentProbes.remove(member.id());
    } else {
      int silent = work.silentProbes.merge(member.id(), 1, Integer::sum);
      boolean isLost = reply instanceof ReportReply.Gone || silent >= SILENT_PROBES;
      if (isLost) {
        probes.markSilent(member);
      }
      if (isLost && isCurrent(work, Phase.OPENED)) {
        end(work, member.id() + " does not answer", false, nowMs);
        return;
      }
    }
    if (work.probesOut == 0 && work.silentProbes.isEmpty() && isCurrent(work, Phase.OPENED)) {
      surroundings.clearSuspicion(work.group);
    }
  }

  private void end(GroupWork work, String reason, boolean isGentle, long nowMs) {
    if (work.group.phase() == Phase.ENDING) {
      return;
    }
    work.group = work.group.withPhase(Phase.ENDING);
    work.endingSinceMs = nowMs;
    work.isGentle = isGentle;
    log.write(
        LogEvent.GROUP_ENDING,
        "group",
        work.group.name(),
        "epoch",
        work.group.epoch(),
        "model",
        work.group.model(),
        "reason",
        reason,
        "gentle",
        isGentle,
        "servedMs",
        nowMs - work.startedMs);
    if (!isGentle) {
      surroundings.onGroupEnding(work.group, reason);
    }
    release.step(work, nowMs);
  }

  // all groups

  private void plan(long nowMs) {
    List<PlannedGroup> next = new ArrayList<>();
    List<PlannedGroup> released = new ArrayList<>();
    Set<String> bound = new HashSet<>();
    boolean isChanged = false;
    for (GroupWork work : works.values()) {
      if (work.isHeadReleased) {
        released.add(work.group);
        isChanged = true;
      } else {
        next.add(work.group);
        bound.addAll(work.group.members());
      }
    }
    List<PlannedGroup> created = new ArrayList<>();
    for (ServiceSpec service : surroundings.services()) {
      EngineSpec engine = service.engine();
      if (engine != null) {
        List<Formation.NewGroup> groups =
            supply.form(service.name(), engine, next, bound, lastEpoch, nowMs);
        for (Formation.NewGroup group : groups) {
          created.add(plannedGroup(service.name(), group));
        }
      }
    }
    if (!isChanged && created.isEmpty()) {
      return;
    }
    next.addAll(created);
    role.write(next, lastEpoch, () -> onPlanWritten(released, created));
  }

  private PlannedGroup plannedGroup(String service, Formation.NewGroup group) {
    lastEpoch++;
    return new PlannedGroup(
        "g" + lastEpoch, lastEpoch, service, group.model(), group.members(), Phase.FORMING);
  }

  private void onPlanWritten(List<PlannedGroup> released, List<PlannedGroup> created) {
    long nowMs = clock.nowMs();
    for (PlannedGroup group : released) {
      GroupWork work = works.remove(group.name());
      if (work != null && work.isHeadOut) {
        supply.onHeadOut(group);
      }
      log.write(LogEvent.GROUP_ENDED, "group", group.name(), "epoch", group.epoch());
    }
    for (PlannedGroup group : created) {
      GroupWork work = new GroupWork(group, nowMs);
      works.put(group.name(), work);
      log.write(
          LogEvent.GROUP_FORMING,
          "group",
          group.name(),
          "epoch",
          group.epoch(),
          "model",
          group.model(),
          "members",
          String.join(" ", group.members()));
      stepForming(work, nowMs);
    }
  }
}
