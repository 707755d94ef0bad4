package org.limpetring.entry.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.DecisionLog;
import org.limpetring.entry.EntryMetrics;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.EngineStatus;
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

    /** Pools of the configuration in force. */
    Iterable<ServiceSpec> services();

    /** Whether callers have sent requests yet; loads are fast and free before. */
    boolean isTrafficSeen();

    /** Failure domains that are out of service. */
    Set<String> domainsOut();

    /** Heads whose streams stand still, as this daemon or another sees it; ids with group. */
    boolean isSuspected(PlannedGroup group);

    /** A suspicion was wrong. */
    void clearSuspicion(PlannedGroup group);

    /** A group takes no more requests. */
    void onGroupEnding(PlannedGroup group, String reason);
  }

  private static final long ORDER_TIMEOUT_MS = 350;
  private static final long PROBE_TIMEOUT_MS = 180;

  /** Pause between two questions to a host that did not answer the last one. */
  private static final long REPROBE_MS = 800;

  private static final long PROBE_PAUSE_MS = 40;

  /** Probes in a row without an answer after which a member counts as lost. */
  private static final int SILENT_PROBES = 2;

  /** An order without a visible effect is sent again after this time. */
  private static final long REORDER_MS = 700;

  /** An order to leave that was not answered is sent again after this time. */
  private static final long LEAVE_AGAIN_MS = 350;

  /** Added to the time in which engines give up on a lost member. */
  private static final long STALL_MARGIN_MS = 700;

  /** Longest wait for a head to finish its requests when a group is ended gently. */
  private static final long GENTLE_MS = 2_500;

  /** A forming group that takes this much longer than its load is given up. */
  private static final long FORM_SLACK_MS = 6_000;

  /** Others are told of an open group this long; their own watches show it by then. */
  private static final long TOLD_MS = 2_500;

  /** Begins the names of groups of one host that never open. */
  private static final String SPARE = "spare-";

  /** Pause in the list's growth after which the first groups form; above the pause of a watch. */
  private static final long SETTLE_MS = 1_200;

  private static final double LOAD_RATE_PART = 0.8;
  private static final double MS_PER_S = 1_000;

  /** Work in progress on one group; lost with the planner and found again from the list. */
  private static final class Work {
    PlannedGroup group;
    final long startedMs;
    final Map<String, Long> bornMs = new HashMap<>();
    final Map<String, Long> joinSentMs = new HashMap<>();
    final Map<String, Integer> silentProbes = new HashMap<>();
    long openSentMs = Long.MIN_VALUE / 2;
    long openedMs = Long.MIN_VALUE / 2;
    long leaveSentMs = Long.MIN_VALUE / 2;
    long endingSinceMs;
    long probedMs = Long.MIN_VALUE / 2;
    int probesOut;
    boolean mayBeOpen;
    boolean isGentle;
    boolean isHeadReleased;
    boolean isHeadOut;
    boolean isCloseSent;
    final Set<String> left = new HashSet<>();

    Work(PlannedGroup group, long nowMs) {
      this.group = group;
      this.startedMs = nowMs;
    }
  }

  private static final class Load {
    final String model;
    final long startedMs;
    final long bornMs;
    final long limitMs;

    Load(String model, long startedMs, long bornMs, long limitMs) {
      this.model = model;
      this.startedMs = startedMs;
      this.bornMs = bornMs;
      this.limitMs = limitMs;
    }
  }

  private final PlannerRole role;
  private final EngineControl engines;
  private final Surroundings surroundings;
  private final Clock clock;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final long stallMs;
  private final Map<String, Work> works = new LinkedHashMap<>();
  private final Map<String, Load> loads = new HashMap<>();
  private final Map<String, String> lastModels = new HashMap<>();
  private final Map<String, Long> warmSentMs = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();

  /** Groups whose heads certainly serve them no more, by name and epoch. */
  private final Set<String> headlessGroups = new HashSet<>();

  /** Lives that did not answer, with the time of their last probe; they form no groups. */
  private final Map<String, Long> silentLives = new HashMap<>();

  private double loadTokens;
  private long loadRefilledMs;
  private boolean wasPlanner;
  private int mostHosts;
  private long countedMs = Long.MIN_VALUE / 2;
  private long grownMs = Long.MIN_VALUE / 2;
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
    this.engines = engines;
    this.surroundings = surroundings;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.stallMs = stallMs;
  }

  /** Heads' ids with group and epoch of groups that ended lately, for the other daemons. */
  public List<PlannedGroup> ending() {
    List<PlannedGroup> groups = new ArrayList<>();
    for (Work work : works.values()) {
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
    for (Work work : works.values()) {
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
      loads.clear();
      return;
    }
    long nowMs = clock.nowMs();
    if (!wasPlanner) {
      takeOver(nowMs);
    }
    for (Work work : List.copyOf(works.values())) {
      step(work, nowMs);
    }
    loads.entrySet().removeIf(each -> isLoadOver(each.getKey(), each.getValue(), nowMs));
    silentLives.values().removeIf(probedMs -> nowMs - probedMs > 10 * REPROBE_MS);
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
      Work work = new Work(group, nowMs);
      work.mayBeOpen = true;
      works.put(group.name(), work);
      if (group.phase() == Phase.ENDING) {
        work.endingSinceMs = nowMs;
      }
    }
  }

  // one group

  private void step(Work work, long nowMs) {
    switch (work.group.phase()) {
      case FORMING -> stepForming(work, nowMs);
      case OPENED -> stepOpened(work, nowMs);
      case ENDING -> stepEnding(work, nowMs);
    }
  }

  private @Nullable String memberFault(Work work) {
    for (String id : work.group.members()) {
      Upstream member = surroundings.upstream(id);
      if (member == null) {
        return id + " left the list";
      }
      Long born = work.bornMs.putIfAbsent(id, member.bornMs());
      if (born != null && born != member.bornMs()) {
        return id + " started again";
      }
      if (member.isLeaving()) {
        return id + " is leaving";
      }
    }
    return null;
  }

  private void stepForming(Work work, long nowMs) {
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

  private void join(Work work, Upstream member, long nowMs) {
    Long sentMs = work.joinSentMs.get(member.id());
    if (sentMs != null && nowMs - sentMs < REORDER_MS) {
      return;
    }
    work.joinSentMs.put(member.id(), nowMs);
    PlannedGroup group = work.group;
    EngineOrder join =
        new EngineOrder.Join(group.name(), group.epoch(), group.model(), group.members());
    order(
        member,
        join,
        reply -> {
          if (reply.isTaken()) {
            // the list shows the effect; only a lost one is ordered again
            work.joinSentMs.put(member.id(), clock.nowMs() + 4 * REORDER_MS);
            lastModels.put(member.life(), group.model());
          } else if (reply == OrderReply.OUTDATED && isCurrent(work, Phase.FORMING)) {
            end(work, member.id() + " has seen a newer epoch", false, clock.nowMs());
          } else if (reply == OrderReply.GONE && isCurrent(work, Phase.FORMING)) {
            end(work, member.id() + " is gone", false, clock.nowMs());
          }
        });
  }

  private boolean isCurrent(Work work, Phase phase) {
    return works.get(work.group.name()) == work && work.group.phase() == phase;
  }

  private void open(Work work, long nowMs) {
    if (nowMs - work.openSentMs < REORDER_MS) {
      return;
    }
    Upstream head = surroundings.upstream(work.group.head());
    if (head == null) {
      return;
    }
    work.openSentMs = nowMs;
    work.mayBeOpen = true;
    order(head, new EngineOrder.Open(work.group.name(), work.group.epoch()), reply -> {});
  }

  private void opened(Work work, long nowMs) {
    work.group = work.group.in(Phase.OPENED);
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

  private void stepOpened(Work work, long nowMs) {
    String fault = memberFault(work);
    Upstream head = surroundings.upstream(work.group.head());
    Membership headState = head == null ? null : head.membership();
    if (fault != null) {
      boolean isLeaving = fault.endsWith("leaving");
      if (isLeaving) {
        end(work, fault, true, nowMs);
      } else {
        probe(work, nowMs);
        end(work, fault, isAnyoneGone(work), nowMs);
      }
      return;
    }
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
      if (membership == null || !membership.isOf(work.group.name(), work.group.epoch())) {
        end(work, id + " is in another group", false, nowMs);
        return;
      }
    }
    if (surroundings.isSuspected(work.group)) {
      probe(work, nowMs);
    }
  }

  /** Whether no member is known to be silent, so that the work in progress may end well. */
  private static boolean isAnyoneGone(Work work) {
    return work.silentProbes.isEmpty();
  }

  private void probe(Work work, long nowMs) {
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
      engines.report(member, PROBE_TIMEOUT_MS, reply -> onProbed(work, member, reply));
    }
  }

  private void onProbed(Work work, Upstream member, ReportReply reply) {
    work.probesOut--;
    long nowMs = clock.nowMs();
    if (reply instanceof ReportReply.Told) {
      work.silentProbes.remove(member.id());
    } else {
      int silent = work.silentProbes.merge(member.id(), 1, Integer::sum);
      boolean isLost = reply instanceof ReportReply.Gone || silent >= SILENT_PROBES;
      if (isLost) {
        silentLives.put(member.life(), nowMs);
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

  private void end(Work work, String reason, boolean isGentle, long nowMs) {
    if (work.group.phase() == Phase.ENDING) {
      return;
    }
    work.group = work.group.in(Phase.ENDING);
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
    stepEnding(work, nowMs);
  }

  private void stepEnding(Work work, long nowMs) {
    if (work.isHeadReleased) {
      return;
    }
    Upstream head = surroundings.upstream(work.group.head());
    Membership membership = head == null ? null : head.membership();
    boolean hasLeft =
        head != null
            && (membership == null || !membership.isOf(work.group.name(), work.group.epoch()));
    if (!work.mayBeOpen || hasLeft) {
      work.isHeadReleased = true;
      work.isHeadOut = true;
      return;
    }
    if (work.isGentle && nowMs - work.endingSinceMs < GENTLE_MS && head != null) {
      if (!work.isCloseSent) {
        work.isCloseSent = true;
        order(head, new EngineOrder.Close(work.group.name(), work.group.epoch()), reply -> {});
      }
      if (membership != null && membership.state().holdsMembers()) {
        return;
      }
    }
    if (nowMs - work.leaveSentMs < LEAVE_AGAIN_MS) {
      return;
    }
    work.leaveSentMs = nowMs;
    boolean isHeadSilent = head == null || silentLives.containsKey(head.life());
    if (isHeadSilent) {
      releaseUnreachable(work, nowMs);
    }
    if (head == null) {
      return;
    }
    order(
        head,
        new EngineOrder.Leave(work.group.name(), work.group.epoch()),
        reply -> {
          boolean isFree =
              reply.isTaken()
                  || reply == OrderReply.GONE
                  || reply == OrderReply.OTHER_ENGINE
                  || reply == OrderReply.UNFIT;
          if (isFree) {
            work.isHeadReleased = true;
            work.isHeadOut = true;
          } else {
            releaseUnreachable(work, clock.nowMs());
          }
        });
  }

  /**
   * The head can't be told to leave: its members are, each by itself. A member that left belongs to
   * no group, and a head that lost one serves nothing more and breaks by itself.
   */
  private void releaseUnreachable(Work work, long nowMs) {
    PlannedGroup group = work.group;
    for (String id : group.members()) {
      Upstream member = surroundings.upstream(id);
      if (member == null || id.equals(group.head()) || work.left.contains(id)) {
        continue;
      }
      Membership membership = member.membership();
      if (membership == null || !membership.isOf(group.name(), group.epoch())) {
        work.left.add(id);
        continue;
      }
      order(
          member,
          new EngineOrder.Leave(group.name(), group.epoch()),
          reply -> {
            if (reply.isTaken() || reply == OrderReply.GONE || reply == OrderReply.OTHER_ENGINE) {
              work.left.add(id);
            }
          });
    }
    work.isHeadReleased = isEachMemberOut(work);
    if (nowMs - work.endingSinceMs > stallMs + STALL_MARGIN_MS) {
      // who still does not answer forms no group anyway
      work.isHeadReleased = true;
    }
  }

  /** Whether each member but the head has left, is no longer listed or does not answer. */
  private boolean isEachMemberOut(Work work) {
    for (String id : work.group.members()) {
      Upstream member = surroundings.upstream(id);
      boolean isOut =
          id.equals(work.group.head())
              || member == null
              || work.left.contains(id)
              || silentLives.containsKey(member.life());
      if (!isOut) {
        return false;
      }
    }
    return true;
  }

  private void order(
      Upstream engine, EngineOrder order, java.util.function.Consumer<OrderReply> done) {
    long sentMs = clock.nowMs();
    engines.order(
        engine,
        order,
        ORDER_TIMEOUT_MS,
        reply -> {
          metrics.order(order.label(), reply.name());
          log.write(
              LogEvent.ORDER_ANSWERED,
              "order",
              order.toString(),
              "upstream",
              engine.id(),
              "answer",
              reply.name(),
              "tookMs",
              clock.nowMs() - sentMs,
              "term",
              role.term());
          if (role.isPlanner()) {
            done.accept(reply);
          }
        });
  }

  // all groups

  private boolean isLoadOver(String host, Load load, long nowMs) {
    Upstream upstream = surroundings.upstream(host);
    if (upstream == null
        || upstream.bornMs() != load.bornMs
        || nowMs - load.startedMs > load.limitMs) {
      return true;
    }
    EngineStatus status = upstream.engine();
    return status != null && status.staged().contains(load.model);
  }

  private void plan(long nowMs) {
    List<PlannedGroup> next = new ArrayList<>();
    List<PlannedGroup> released = new ArrayList<>();
    Set<String> bound = new HashSet<>();
    boolean isChanged = false;
    for (Work work : works.values()) {
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
      if (engine != null && isSettled(nowMs)) {
        form(service.name(), engine, bound, created, nowMs);
      }
    }
    if (!isChanged && created.isEmpty()) {
      return;
    }
    next.addAll(created);
    role.write(next, lastEpoch, () -> onPlanWritten(released, created));
  }

  /** Whether the list has stopped growing, so that a fabric domain's hosts are seen together. */
  private boolean isSettled(long nowMs) {
    int count = 0;
    for (Upstream upstream : surroundings.upstreams()) {
      count += upstream.engine() == null ? 0 : 1;
    }
    if (count > mostHosts) {
      mostHosts = count;
      grownMs = nowMs;
    }
    return surroundings.isTrafficSeen() || nowMs - grownMs >= SETTLE_MS;
  }

  private void onPlanWritten(List<PlannedGroup> released, List<PlannedGroup> created) {
    long nowMs = clock.nowMs();
    for (PlannedGroup group : released) {
      Work work = works.remove(group.name());
      if (work != null && work.isHeadOut) {
        headlessGroups.add(group.name() + '/' + group.epoch());
      }
      log.write(LogEvent.GROUP_ENDED, "group", group.name(), "epoch", group.epoch());
    }
    for (PlannedGroup group : created) {
      Work work = new Work(group, nowMs);
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

  private void form(
      String service,
      EngineSpec engine,
      Set<String> bound,
      List<PlannedGroup> created,
      long nowMs) {
    Map<String, Integer> groupsByModel = new HashMap<>();
    Map<String, String> plannedModels = new HashMap<>();
    int loading = 0;
    for (Work work : works.values()) {
      work.group.members().forEach(id -> plannedModels.put(id, work.group.model()));
      if (work.group.service().equals(service) && work.group.phase() != Phase.ENDING) {
        groupsByModel.merge(work.group.model(), 1, Integer::sum);
        if (work.group.phase() == Phase.FORMING) {
          loading += unstagedMembers(work.group);
        }
      }
    }
    List<FreeHost> free = new ArrayList<>();
    Map<String, Map<String, Integer>> modelsByDomain = new HashMap<>();
    for (Upstream upstream : surroundings.upstreams()) {
      EngineStatus status = upstream.engine();
      if (status == null || !upstream.service().equals(service)) {
        continue;
      }
      Load load = loads.get(upstream.id());
      String staged = status.staged().isEmpty() ? null : status.staged().get(0);
      String planned = plannedModels.get(upstream.id());
      String held = planned != null ? planned : load != null ? load.model : staged;
      if (held != null) {
        modelsByDomain
            .computeIfAbsent(status.fabricDomain(), key -> new HashMap<>())
            .merge(held, 1, Integer::sum);
      }
      if (load != null) {
        loading++;
      }
      if (isFree(upstream, bound)) {
        free.add(
            new FreeHost(
                upstream.id(),
                status.fabricDomain(),
                staged,
                load == null ? null : load.model,
                lastModels.get(upstream.life())));
      }
    }
    count(service, engine, groupsByModel, free, loading, nowMs);
    refillLoads(engine, nowMs);
    int loadsLeft =
        surroundings.isTrafficSeen()
            ? (int) Math.max(0, Math.min(loadTokens, engine.loadsAtOnce() - loading))
            : Integer.MAX_VALUE;
    Formation.Decision decision =
        Formation.decide(engine, free, groupsByModel, modelsByDomain, loadsLeft);
    for (Formation.NewGroup group : decision.groups()) {
      lastEpoch++;
      created.add(
          new PlannedGroup(
              "g" + lastEpoch, lastEpoch, service, group.model(), group.members(), Phase.FORMING));
      loadTokens -= group.loads();
    }
    for (Formation.Staging staging : decision.stagings()) {
      stage(staging, engine, nowMs);
    }
    Set<String> taken = new HashSet<>(bound);
    for (PlannedGroup group : created) {
      taken.addAll(group.members());
    }
    for (FreeHost host : free) {
      if (!taken.contains(host.id())) {
        warm(host, nowMs);
      }
    }
  }

  /** Logs, once a second, how the pool's hosts are used. */
  private void count(
      String service,
      EngineSpec engine,
      Map<String, Integer> groupsByModel,
      List<FreeHost> free,
      int loading,
      long nowMs) {
    if (nowMs - countedMs < MS_PER_S) {
      return;
    }
    countedMs = nowMs;
    Map<String, Integer> spares = new TreeMap<>();
    for (FreeHost host : free) {
      String what =
          host.loadingModel() != null ? "loading " + host.loadingModel() : host.stagedModel();
      spares.merge(host.fabricDomain() + ' ' + (what == null ? "empty" : what), 1, Integer::sum);
    }
    int unreachable = 0;
    for (Work work : works.values()) {
      unreachable += work.group.phase() == Phase.ENDING ? 1 : 0;
    }
    log.write(
        LogEvent.HOSTS_COUNTED,
        "service",
        service,
        "groups",
        groupsByModel,
        "models",
        engine.models(),
        "ending",
        unreachable,
        "spares",
        spares,
        "loading",
        loading,
        "silent",
        silentLives.size());
  }

  /**
   * Has a spare host read its staged weights ahead of time, in a group of its own that never opens:
   * an engine joins a group of the model of its last group many times faster.
   */
  private void warm(FreeHost spare, long nowMs) {
    Upstream host = surroundings.upstream(spare.id());
    String model = spare.stagedModel();
    if (host == null
        || model == null
        || spare.loadingModel() != null
        || model.equals(spare.lastModel())
        || host.membership() != null) {
      return;
    }
    Long sentMs = warmSentMs.get(host.life());
    if (sentMs != null && nowMs - sentMs < 4 * REORDER_MS) {
      return;
    }
    warmSentMs.put(host.life(), nowMs);
    EngineOrder join =
        new EngineOrder.Join(SPARE + host.id(), lastEpoch, model, List.of(host.id()));
    order(
        host,
        join,
        reply -> {
          if (reply.isTaken()) {
            lastModels.put(host.life(), model);
          }
        });
  }

  private int unstagedMembers(PlannedGroup group) {
    int count = 0;
    for (String id : group.members()) {
      Upstream member = surroundings.upstream(id);
      EngineStatus status = member == null ? null : member.engine();
      if (status != null && !status.staged().contains(group.model())) {
        count++;
      }
    }
    return count;
  }

  private void refillLoads(EngineSpec engine, long nowMs) {
    double perMs = engine.loadsPerSecond() * LOAD_RATE_PART / MS_PER_S;
    double most = Math.max(1, engine.loadsAtOnce());
    loadTokens = Math.min(most, loadTokens + (nowMs - loadRefilledMs) * perMs);
    loadRefilledMs = nowMs;
  }

  private void stage(Formation.Staging staging, EngineSpec engine, long nowMs) {
    Upstream host = surroundings.upstream(staging.host());
    var model = engine.model(staging.model());
    if (host == null || model == null) {
      return;
    }
    loadTokens -= 1;
    loads.put(
        host.id(),
        new Load(model.name(), nowMs, host.bornMs(), FORM_SLACK_MS + 4 * model.loadMs()));
    order(
        host,
        new EngineOrder.Stage(model.name()),
        reply -> {
          if (!reply.isTaken() && reply != OrderReply.UNKNOWN) {
            loads.remove(host.id());
          }
        });
  }

  private boolean isFree(Upstream upstream, Set<String> bound) {
    if (bound.contains(upstream.id())
        || upstream.isLeaving()
        || isSilent(upstream)
        || surroundings.domainsOut().contains(upstream.failureDomain())) {
      return false;
    }
    Membership membership = upstream.membership();
    if (membership == null) {
      return true;
    }
    if (membership.group().startsWith(SPARE)) {
      return true;
    }
    Upstream head = listedHead(upstream, membership);
    boolean isHeadOut =
        head == null
            ? headlessGroups.contains(membership.group() + '/' + membership.epoch())
            : !Objects.requireNonNull(head.membership()).state().holdsMembers();
    if (isHeadOut) {
      return true;
    }
    // the head goes first if it can be told; a host that has left by itself belongs to no group
    Upstream told = head == null ? upstream : head;
    if (leaving.add(told.life() + membership.group())) {
      order(
          told,
          new EngineOrder.Leave(membership.group(), membership.epoch()),
          reply -> leaving.remove(told.life() + membership.group()));
    }
    return false;
  }

  /** Whether the host did not answer lately; asks it again from time to time. */
  private boolean isSilent(Upstream upstream) {
    Long probedMs = silentLives.get(upstream.life());
    if (probedMs == null) {
      return false;
    }
    long nowMs = clock.nowMs();
    if (nowMs - probedMs >= REPROBE_MS) {
      silentLives.put(upstream.life(), nowMs);
      engines.report(
          upstream,
          PROBE_TIMEOUT_MS,
          reply -> {
            if (reply instanceof ReportReply.Told) {
              silentLives.remove(upstream.life());
            }
          });
    }
    return true;
  }

  /** The listed host that is the head of a member's group, or null. */
  private @Nullable Upstream listedHead(Upstream member, Membership membership) {
    for (Upstream other : surroundings.upstreams()) {
      Membership head = other.membership();
      if (head != null
          && head.rank() == 0
          && head.isOf(membership.group(), membership.epoch())
          && other.service().equals(member.service())) {
        return other;
      }
    }
    return null;
  }
}
