package org.limpetring.entry.group;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
 * Forms, monitors and dissolves groups on the planner; {@link #tick} advances each group by one
 * step.
 *
 * <p>A host is ordered to join a group only after it has left its previous group or that group's
 * head can't serve it any more; see {@link GroupDissolver} for the evidence. A head is opened only
 * when every member is listed as ready under the group's name and epoch.
 */
public final class GroupManager {

  /** State and callbacks that the rest of the daemon provides to the manager. */
  public interface Context {

    /** Upstreams that are currently listed. */
    Iterable<Upstream> upstreams();

    /** The listed upstream with this id, or null. */
    @Nullable Upstream upstream(String id);

    /** The upstream with this id that was recently removed from the list, or null. */
    @Nullable Upstream departed(String id);

    /** Pools of the accepted configuration. */
    Iterable<ServiceSpec> services();

    /** Whether callers have sent requests yet; before that, loads are fast and not rate-limited. */
    boolean isTrafficSeen();

    /** Failure domains that are out of service. */
    Set<String> domainsOut();

    /** Slots that the requests for a model occupy on average; 0 if unknown. */
    double slotsNeeded(String model);

    /** Demand of all callers for a model. */
    default ModelDemand demand(String model) {
      return ModelDemand.ofSlots(slotsNeeded(model));
    }

    /** Whether at least half of the known daemons were heard from lately. */
    default boolean isHearingFleet() {
      return true;
    }

    /** Whether the list of upstreams shows all changes up to a time. */
    default boolean isListCurrent(long sinceMs) {
      return true;
    }

    /** Called when a group gets no new requests, while those in progress end there. */
    default void onGroupDraining(PlannedGroup group) {}

    /** Whether this daemon or another one observes that the group's streams are stalled. */
    boolean isSuspected(PlannedGroup group);

    /** Clears the suspicion of a group whose members all responded. */
    void clearSuspicion(PlannedGroup group);

    /** Called when a group stops accepting requests. */
    void onGroupEnding(PlannedGroup group, String reason);
  }

  /** Interval between two rounds of probes to the members of a suspected group. */
  private static final long PROBE_INTERVAL_MS = 40;

  /**
   * Pause after a round that all members answered; other daemons may go on suspecting the group.
   */
  private static final long CLEARED_PROBE_INTERVAL_MS = 500;

  /** Interval between two probes of members that are no longer listed. */
  private static final long DEPARTED_PROBE_INTERVAL_MS = 250;

  /** Consecutive unanswered probes after which a member counts as lost. */
  private static final int MAX_UNANSWERED_PROBES = 2;

  /** An order without a visible effect is retried after this time. */
  private static final long ORDER_RETRY_MS = 700;

  /** An order for which the engine's state was not known yet is retried after this time. */
  private static final long STATE_RETRY_MS = 100;

  /** Interval at which the order counts of hosts that left the list are discarded. */
  private static final long COUNT_CLEANUP_INTERVAL_MS = 10_000;

  /** Added to four times the model's load time to get the deadline of a forming group. */
  private static final long FORMATION_SLACK_MS = 6_000;

  /**
   * Time after a plan from before the store was restored is taken over or written again in which no
   * group is planned and a group that was forming may show that it has opened. Upstreams write
   * their entries again sooner.
   */
  private static final long RESTORED_SETTLE_MS = 2_000;

  /** How long an opened group is announced to other daemons; their own watches list it by then. */
  private static final long OPENED_ANNOUNCEMENT_MS = 2_500;

  private static final String NOT_LISTED = " left the list";
  private static final String LEAVING = " is leaving";

  private final PlannerRole role;
  private final Context context;
  private final Clock clock;
  private final DecisionLog log;
  private final OrderSender orders;
  private final ConditionalOrders conditionalOrders;
  private final HostProber prober;
  private final HostAllocator allocator;
  private final GroupDissolver dissolver;
  private final HostMover mover;
  private final Map<String, ManagedGroup> managedGroups = new LinkedHashMap<>();

  /** Groups that a restored plan lacks and whose members have reported that they serve. */
  private final Set<PlannedGroup> adoptedGroups = new LinkedHashSet<>();

  /** Names of groups that a restored plan lacks and whose members have been asked. */
  private final Set<String> verifiedGroups = new HashSet<>();

  private boolean wasPlanner;
  private long nextCountCleanupMs = Long.MIN_VALUE / 2;
  private long lastEpoch;

  /** Creates a manager that acts only while {@code role} is held. */
  public GroupManager(
      PlannerRole role,
      EngineControl engines,
      Context context,
      Clock clock,
      DecisionLog log,
      EntryMetrics metrics,
      long stallMs) {
    this.role = role;
    this.context = context;
    this.clock = clock;
    this.log = log;
    this.orders = new OrderSender(role, engines, clock, log, metrics);
    this.prober = new HostProber(engines, clock);
    this.conditionalOrders = new ConditionalOrders(role, orders, prober);
    this.allocator = new HostAllocator(context, orders, conditionalOrders, prober, log);
    this.mover = new HostMover(context, allocator, log, metrics);
    this.dissolver = new GroupDissolver(context, orders, conditionalOrders, prober, clock, stallMs);
  }

  /** Groups that are being dissolved, to be announced to the other daemons. */
  public List<PlannedGroup> endingGroups() {
    return endingGroups(false);
  }

  /** Groups that get no new requests while those in progress end there, to be announced. */
  public List<PlannedGroup> drainingGroups() {
    return endingGroups(true);
  }

  private List<PlannedGroup> endingGroups(boolean areDraining) {
    List<PlannedGroup> groups = new ArrayList<>();
    for (ManagedGroup managed : managedGroups.values()) {
      if (managed.group.phase() == Phase.ENDING && managed.isDraining == areDraining) {
        groups.add(managed.group);
      }
    }
    return groups;
  }

  /** Whether a group is being formed or dissolved. */
  public boolean isAnyGroupChanging() {
    for (ManagedGroup managed : managedGroups.values()) {
      if (managed.group.phase() != Phase.OPENED) {
        return true;
      }
    }
    return false;
  }

  /** Recently opened groups, to be announced to the other daemons. */
  public List<PlannedGroup> recentlyOpenedGroups() {
    long nowMs = clock.nowMs();
    List<PlannedGroup> groups = new ArrayList<>();
    for (ManagedGroup managed : managedGroups.values()) {
      if (managed.group.phase() == Phase.OPENED
          && nowMs - managed.openedMs < OPENED_ANNOUNCEMENT_MS) {
        groups.add(managed.group);
      }
    }
    return groups;
  }

  /** Advances all groups by one step, then updates the plan. */
  public void tick() {
    if (!role.isPlanner()) {
      wasPlanner = false;
      managedGroups.clear();
      adoptedGroups.clear();
      verifiedGroups.clear();
      allocator.reset();
      mover.reset();
      return;
    }
    long nowMs = clock.nowMs();
    if (!wasPlanner) {
      resumePlan(nowMs);
    }
    GroupPlan plan = role.plan();
    lastEpoch = Math.max(lastEpoch, plan == null ? 0 : plan.lastEpoch());
    for (ManagedGroup managed : List.copyOf(managedGroups.values())) {
      step(managed, nowMs);
    }
    for (ManagedGroup managed : mover.groupsToDissolve(managedGroups.values(), nowMs)) {
      managed.isDraining = true;
      context.onGroupDraining(managed.group);
      end(managed, "its hosts are moved to " + managed.movesTo, true, nowMs);
    }
    prober.removeExpired(nowMs);
    if (nowMs >= nextCountCleanupMs) {
      nextCountCleanupMs = nowMs + COUNT_CLEANUP_INTERVAL_MS;
      conditionalOrders.retainListed(context.upstreams());
    }
    if (!role.isStoreCallPending()) {
      planGroups(nowMs);
    }
  }

  private void resumePlan(long nowMs) {
    wasPlanner = true;
    managedGroups.clear();
    conditionalOrders.reset();
    GroupPlan plan = role.plan();
    if (plan == null) {
      return;
    }
    lastEpoch = plan.lastEpoch();
    for (PlannedGroup group : plan.groups()) {
      ManagedGroup managed = new ManagedGroup(group, nowMs);
      managed.mayBeOpen = true;
      managed.isTakenOver = true;
      managed.isFormingTakenOver = group.phase() == Phase.FORMING;
      managed.isFormingRestored = group.phase() == Phase.FORMING && role.restored() != null;
      managedGroups.put(group.name(), managed);
      if (group.phase() == Phase.ENDING) {
        managed.endingSinceMs = nowMs;
      }
    }
  }

  // steps of one group

  private void step(ManagedGroup managed, long nowMs) {
    managed.isListDoubtful = role.isStoreDoubtful(nowMs);
    switch (managed.group.phase()) {
      case FORMING -> stepForming(managed, nowMs);
      case OPENED -> stepOpened(managed, nowMs);
      case ENDING -> {
        if (managed.isDraining && memberFault(managed) != null) {
          managed.isGraceful = false;
        }
        dissolver.step(managed, nowMs);
      }
    }
  }

  /**
   * Returns a fault of any member, or null. A member missing from the list is reported only if no
   * member has another fault.
   */
  private @Nullable String memberFault(ManagedGroup managed) {
    String departed = null;
    for (String id : managed.group.members()) {
      Upstream member = context.upstream(id);
      if (member == null) {
        departed = id + NOT_LISTED;
        continue;
      }
      if (managed.isTakenOver
          && !managed.startTimesMs.containsKey(id)
          && !context.isListCurrent(managed.startedMs)) {
        // the list may show the incarnation before the one that joined
        continue;
      }
      Long firstStartMs = managed.startTimesMs.putIfAbsent(id, member.startedAtMs());
      boolean isOlderEntry =
          managed.isListDoubtful && firstStartMs != null && firstStartMs > member.startedAtMs();
      if (firstStartMs != null && firstStartMs != member.startedAtMs() && !isOlderEntry) {
        return id + " restarted";
      }
      if (member.isLeaving()) {
        return id + LEAVING;
      }
    }
    return departed;
  }

  /**
   * Waits for a group that was forming when the store was copied. It may have opened and ended
   * since, so it is never ordered to form again, which would open it twice.
   */
  private void stepFormingRestored(ManagedGroup managed, long nowMs) {
    Upstream head = context.upstream(managed.group.head());
    Membership membership = head == null ? null : head.membership();
    boolean isOpen =
        membership != null
            && membership.isOf(managed.group.name(), managed.group.epoch())
            && membership.state() == MemberState.OPEN;
    if (isOpen) {
      managed.isFormingRestored = false;
      markOpened(managed, nowMs);
    } else if (nowMs - managed.startedMs > RESTORED_SETTLE_MS) {
      end(managed, "was forming when the store was copied", false, nowMs);
    }
  }

  private void stepForming(ManagedGroup managed, long nowMs) {
    if (managed.isFormingRestored) {
      stepFormingRestored(managed, nowMs);
      return;
    }
    String fault = memberFault(managed);
    if (fault != null) {
      end(managed, fault, false, nowMs);
      return;
    }
    boolean areAllReady = true;
    for (String id : managed.group.members()) {
      Upstream member = context.upstream(id);
      Membership membership = member == null ? null : member.membership();
      boolean isMember =
          membership != null && membership.isOf(managed.group.name(), managed.group.epoch());
      if (isMember) {
        managed.joined.add(id);
      } else if (member != null && managed.joined.contains(id) && !managed.isListDoubtful) {
        // only another planner's order makes it leave
        end(managed, id + " has left", false, nowMs);
        return;
      } else if (member != null && (managed.isFormingTakenOver || managed.joined.contains(id))) {
        verifyJoined(managed, member, nowMs);
      } else if (member != null) {
        join(managed, member, nowMs);
      }
      if (membership != null && isMember && membership.state() == MemberState.BROKEN) {
        // it opened and lost a member before the list showed that it had opened
        end(managed, "head is broken", false, nowMs);
        return;
      }
      if (membership == null || !isMember || membership.state() == MemberState.JOINING) {
        areAllReady = false;
      } else if (id.equals(managed.group.head()) && membership.state() == MemberState.OPEN) {
        markOpened(managed, nowMs);
        return;
      }
    }
    if (areAllReady) {
      open(managed, nowMs);
    } else if (nowMs - managed.startedMs > formationTimeoutMs(managed.group)) {
      end(managed, "did not form in time", false, nowMs);
    }
  }

  private long formationTimeoutMs(PlannedGroup group) {
    EngineSpec engine = engine(group.service());
    var model = engine == null ? null : engine.model(group.model());
    return FORMATION_SLACK_MS + (model == null ? 0 : 4 * model.loadMs());
  }

  private @Nullable EngineSpec engine(String service) {
    for (ServiceSpec spec : context.services()) {
      if (spec.name().equals(service)) {
        return spec.engine();
      }
    }
    return null;
  }

  /**
   * Asks a member that is not listed as one whether it has joined. If it has not, the group ends
   * instead: it may have opened and lost the member since the plan was written, and would be opened
   * twice.
   */
  private void verifyJoined(ManagedGroup managed, Upstream member, long nowMs) {
    Long sentMs = managed.joinSentMs.get(member.id());
    if (sentMs != null && nowMs - sentMs < DEPARTED_PROBE_INTERVAL_MS) {
      return;
    }
    managed.joinSentMs.put(member.id(), nowMs);
    PlannedGroup group = managed.group;
    prober.probe(
        member,
        reply -> {
          Membership membership =
              reply instanceof ReportReply.Received report ? report.status().membership() : null;
          boolean isMember = membership != null && membership.isOf(group.name(), group.epoch());
          if (!isMember
              && !(reply instanceof ReportReply.TimedOut)
              && isCurrent(managed, Phase.FORMING)) {
            end(managed, member.id() + " has not joined", false, clock.nowMs());
          }
        });
  }

  private void join(ManagedGroup managed, Upstream member, long nowMs) {
    Long sentMs = managed.joinSentMs.get(member.id());
    if (sentMs != null && nowMs - sentMs < ORDER_RETRY_MS) {
      return;
    }
    managed.joinSentMs.put(member.id(), nowMs);
    PlannedGroup group = managed.group;
    conditionalOrders.send(
        member,
        new EngineOrder.Join(group.name(), group.epoch(), group.model(), group.members()),
        membership -> allocator.mayJoin(membership, group),
        outcome -> onJoinSent(managed, member, outcome));
  }

  private void onJoinSent(
      ManagedGroup managed, Upstream member, ConditionalOrders.Outcome outcome) {
    if (!isCurrent(managed, Phase.FORMING)) {
      return;
    }
    long nowMs = clock.nowMs();
    if (outcome instanceof ConditionalOrders.Outcome.NotAllowed notAllowed
        && allocator.mayBeUnplanned(Objects.requireNonNull(notAllowed.membership()), nowMs)) {
      end(managed, member.id() + " is in a group that the plan lacks", false, nowMs);
    } else if (outcome instanceof ConditionalOrders.Outcome.NotAllowed notAllowed) {
      allocator.leave(member, Objects.requireNonNull(notAllowed.membership()), nowMs);
      retryJoinSoon(managed, member, nowMs);
    } else if (outcome instanceof ConditionalOrders.Outcome.NotReported notReported) {
      if (notReported.reply() instanceof ReportReply.Gone) {
        end(managed, member.id() + " is gone", false, nowMs);
      } else {
        retryJoinSoon(managed, member, nowMs);
      }
    } else if (outcome instanceof ConditionalOrders.Outcome.Sent sent) {
      onJoinAnswered(managed, member, sent.reply(), nowMs);
    }
  }

  private void onJoinAnswered(ManagedGroup managed, Upstream member, OrderReply reply, long nowMs) {
    switch (reply) {
      case DONE, BEGUN -> {
        // the list will show the effect; wait longer before retrying an accepted order
        managed.joinSentMs.put(member.id(), nowMs + 4 * ORDER_RETRY_MS);
        allocator.onJoinStarted(member, managed.group.model());
      }
      case UNFIT -> retryJoinSoon(managed, member, nowMs);
      case OUTDATED -> end(managed, member.id() + " has seen a newer epoch", false, nowMs);
      case GONE -> end(managed, member.id() + " is gone", false, nowMs);
      case OTHER_ENGINE, REFUSED, UNKNOWN -> {}
    }
  }

  private void retryJoinSoon(ManagedGroup managed, Upstream member, long nowMs) {
    managed.joinSentMs.put(member.id(), nowMs - ORDER_RETRY_MS + STATE_RETRY_MS);
  }

  private boolean isCurrent(ManagedGroup managed, Phase phase) {
    return managedGroups.get(managed.group.name()) == managed && managed.group.phase() == phase;
  }

  private void open(ManagedGroup managed, long nowMs) {
    if (nowMs - managed.openSentMs < ORDER_RETRY_MS) {
      return;
    }
    Upstream head = context.upstream(managed.group.head());
    if (head == null) {
      return;
    }
    managed.openSentMs = nowMs;
    managed.mayBeOpen = true;
    PlannedGroup group = managed.group;
    conditionalOrders.send(
        head,
        new EngineOrder.Open(group.name(), group.epoch()),
        membership -> membership != null && membership.isOf(group.name(), group.epoch()),
        outcome -> {
          boolean isAnswered =
              outcome instanceof ConditionalOrders.Outcome.Sent sent
                  && sent.reply() != OrderReply.UNFIT;
          if (!isAnswered) {
            managed.openSentMs = clock.nowMs() - ORDER_RETRY_MS + STATE_RETRY_MS;
          }
        });
  }

  private void markOpened(ManagedGroup managed, long nowMs) {
    managed.group = managed.group.withPhase(Phase.OPENED);
    managed.openedMs = nowMs;
    managed.mayBeOpen = true;
    log.write(
        LogEvent.GROUP_OPENED,
        "group",
        managed.group.name(),
        "epoch",
        managed.group.epoch(),
        "model",
        managed.group.model(),
        "head",
        managed.group.head(),
        "tookMs",
        nowMs - managed.startedMs);
  }

  private void stepOpened(ManagedGroup managed, long nowMs) {
    String fault = memberFault(managed);
    if (fault != null && !fault.endsWith(NOT_LISTED)) {
      end(managed, fault, fault.endsWith(LEAVING), nowMs);
      return;
    }
    Upstream head = context.upstream(managed.group.head());
    if (head == null) {
      endDepartedHead(managed, nowMs);
      return;
    }
    if (managed.isListDoubtful && !isListedAsOpen(managed, head)) {
      verify(managed, nowMs);
      return;
    }
    Membership headState = head.membership();
    if (headState == null
        || !headState.isOf(managed.group.name(), managed.group.epoch())
        || headState.state() == MemberState.BROKEN
        || headState.state() == MemberState.READY) {
      end(managed, "head is " + (headState == null ? "free" : headState.state()), false, nowMs);
      return;
    }
    for (String id : managed.group.members()) {
      Upstream member = context.upstream(id);
      Membership membership = member == null ? null : member.membership();
      boolean isMember =
          membership != null && membership.isOf(managed.group.name(), managed.group.epoch());
      if (member != null && !isMember) {
        end(managed, id + " is in another group", false, nowMs);
        return;
      }
    }
    if (fault != null) {
      probeDeparted(managed, nowMs);
    }
    if (managed.group.phase() == Phase.OPENED && context.isSuspected(managed.group)) {
      probe(managed, nowMs);
    }
  }

  private boolean isListedAsOpen(ManagedGroup managed, Upstream head) {
    Membership headState = head.membership();
    if (headState == null || !headState.state().holdsMembers()) {
      return false;
    }
    for (String id : managed.group.members()) {
      Upstream member = context.upstream(id);
      Membership membership = member == null ? null : member.membership();
      if (member != null
          && (membership == null
              || !membership.isOf(managed.group.name(), managed.group.epoch()))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Asks the listed members for their membership, since the list may be from an older copy of the
   * store; ends the group if a member reports that it does not serve.
   */
  private void verify(ManagedGroup managed, long nowMs) {
    if (nowMs - managed.departedProbedMs < DEPARTED_PROBE_INTERVAL_MS) {
      return;
    }
    managed.departedProbedMs = nowMs;
    for (String id : managed.group.members()) {
      Upstream member = context.upstream(id);
      if (member != null) {
        prober.probe(member, reply -> onVerified(managed, member, reply));
      }
    }
  }

  private void onVerified(ManagedGroup managed, Upstream member, ReportReply reply) {
    String id = member.id();
    if (!isCurrent(managed, Phase.OPENED)) {
      return;
    }
    if (reply instanceof ReportReply.Received report) {
      Membership membership = report.status().membership();
      boolean isMember =
          membership != null
              && membership.isOf(managed.group.name(), managed.group.epoch())
              && managed.startTimesMs.getOrDefault(id, report.startedAtMs())
                  == report.startedAtMs();
      boolean isServing =
          !id.equals(managed.group.head())
              || (membership != null && membership.state().holdsMembers());
      if (isMember && isServing) {
        managed.unansweredProbes.remove(id);
      } else {
        end(managed, id + " reports another membership", false, clock.nowMs());
      }
    } else if (managed.unansweredProbes.merge(id, 1, Integer::sum) >= MAX_UNANSWERED_PROBES) {
      prober.markUnresponsive(member);
      end(managed, id + " does not answer", false, clock.nowMs());
    }
  }

  /**
   * Probes members that are no longer listed for their membership. Members that are only cut off
   * from the store keep serving; a member that does not respond or reports another membership ends
   * the group.
   */
  private void probeDeparted(ManagedGroup managed, long nowMs) {
    if (nowMs - managed.departedProbedMs < DEPARTED_PROBE_INTERVAL_MS) {
      return;
    }
    managed.departedProbedMs = nowMs;
    for (String id : managed.group.members()) {
      if (context.upstream(id) != null) {
        continue;
      }
      Upstream departed = context.departed(id);
      if (departed == null && managed.isListDoubtful) {
        continue;
      }
      if (departed == null) {
        end(managed, id + NOT_LISTED, false, nowMs);
        return;
      }
      prober.probe(departed, reply -> onDepartedProbed(managed, departed, reply));
    }
  }

  private void onDepartedProbed(ManagedGroup managed, Upstream departed, ReportReply reply) {
    String id = departed.id();
    if (!isCurrent(managed, Phase.OPENED)) {
      return;
    }
    if (reply instanceof ReportReply.Received report) {
      Membership membership = report.status().membership();
      boolean isMember =
          report.startedAtMs() == departed.startedAtMs()
              && membership != null
              && membership.isOf(managed.group.name(), managed.group.epoch());
      if (isMember) {
        managed.unansweredProbes.remove(id);
        return;
      }
    }
    int unanswered = managed.unansweredProbes.merge(id, 1, Integer::sum);
    if (!(reply instanceof ReportReply.TimedOut) || unanswered >= MAX_UNANSWERED_PROBES) {
      end(managed, id + NOT_LISTED, false, clock.nowMs());
    }
  }

  /**
   * Ends a group whose head is no longer listed, so that no more requests are sent to it. A head
   * that still responds is stopping or only cut off from the store, so the group ends gracefully
   * and requests in progress may complete.
   */
  private void endDepartedHead(ManagedGroup managed, long nowMs) {
    if (managed.isHeadDepartureProbed) {
      return;
    }
    Upstream departed = context.departed(managed.group.head());
    if (departed == null && managed.isListDoubtful) {
      return;
    }
    managed.isHeadDepartureProbed = true;
    String fault = managed.group.head() + NOT_LISTED;
    if (departed == null) {
      end(managed, fault, false, nowMs);
      return;
    }
    prober.probe(
        departed,
        reply -> {
          if (isCurrent(managed, Phase.OPENED)) {
            end(managed, fault, reply instanceof ReportReply.Received, clock.nowMs());
          }
        });
  }

  private void probe(ManagedGroup managed, long nowMs) {
    if (managed.probesInFlight > 0 || nowMs < managed.nextProbeMs) {
      return;
    }
    managed.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    for (String id : managed.group.members()) {
      Upstream member = context.upstream(id);
      if (member == null) {
        continue;
      }
      managed.probesInFlight++;
      prober.probe(member, reply -> onProbed(managed, member, reply));
    }
  }

  private void onProbed(ManagedGroup managed, Upstream member, ReportReply reply) {
    managed.probesInFlight--;
    long nowMs = clock.nowMs();
    if (reply instanceof ReportReply.Received) {
      managed.unansweredProbes.remove(member.id());
    } else {
      int unanswered = managed.unansweredProbes.merge(member.id(), 1, Integer::sum);
      boolean isLost = reply instanceof ReportReply.Gone || unanswered >= MAX_UNANSWERED_PROBES;
      if (isLost) {
        prober.markUnresponsive(member);
      }
      if (isLost && isCurrent(managed, Phase.OPENED)) {
        end(managed, member.id() + " does not answer", false, nowMs);
        return;
      }
    }
    if (managed.probesInFlight == 0
        && managed.unansweredProbes.isEmpty()
        && isCurrent(managed, Phase.OPENED)) {
      managed.nextProbeMs = nowMs + CLEARED_PROBE_INTERVAL_MS;
      context.clearSuspicion(managed.group);
    }
  }

  private void end(ManagedGroup managed, String reason, boolean isGraceful, long nowMs) {
    if (managed.group.phase() == Phase.ENDING) {
      return;
    }
    managed.group = managed.group.withPhase(Phase.ENDING);
    managed.endingSinceMs = nowMs;
    managed.isGraceful = isGraceful;
    log.write(
        LogEvent.GROUP_ENDING,
        "group",
        managed.group.name(),
        "epoch",
        managed.group.epoch(),
        "model",
        managed.group.model(),
        "reason",
        reason,
        "gentle",
        isGraceful,
        "servedMs",
        nowMs - managed.startedMs);
    if (!isGraceful) {
      context.onGroupEnding(managed.group, reason);
    }
    dissolver.step(managed, nowMs);
  }

  // planning of all groups

  private void planGroups(long nowMs) {
    List<PlannedGroup> next = new ArrayList<>();
    List<PlannedGroup> released = new ArrayList<>();
    Set<String> assignedHosts = new HashSet<>();
    boolean isChanged = false;
    for (ManagedGroup managed : managedGroups.values()) {
      if (managed.isReleased) {
        released.add(managed.group);
        isChanged = true;
        if (managed.isHeadStopped) {
          allocator.onHeadStopped(managed.group);
        }
      } else {
        next.add(managed.group);
        assignedHosts.addAll(managed.group.members());
      }
    }
    RestoredPlan restored = conditionalOrders.restoredPlan(nowMs);
    if (restored != null) {
      findLostGroups(restored, assignedHosts);
    }
    for (PlannedGroup adopted : adoptedGroups) {
      next.add(adopted);
      assignedHosts.addAll(adopted.members());
      isChanged = true;
    }
    boolean isSettling = restored != null && nowMs - restored.atMs() < RESTORED_SETTLE_MS;
    List<PlannedGroup> created = new ArrayList<>();
    for (ServiceSpec service : context.services()) {
      EngineSpec engine = service.engine();
      if (engine != null && !isSettling) {
        List<Formation.NewGroup> groups =
            allocator.allocate(service.name(), engine, next, assignedHosts, lastEpoch, nowMs);
        for (Formation.NewGroup group : groups) {
          created.add(plannedGroup(service.name(), group));
        }
      }
    }
    if (!isChanged && created.isEmpty()) {
      return;
    }
    next.addAll(created);
    List<PlannedGroup> adopted = List.copyOf(adoptedGroups);
    role.write(
        next,
        lastEpoch,
        () -> {
          onAdopted(adopted);
          onPlanWritten(released, created);
        });
  }

  /** Asks the members of groups that the restored plan lacks whether they serve. */
  private void findLostGroups(RestoredPlan restored, Set<String> assignedHosts) {
    for (ServiceSpec service : context.services()) {
      EngineSpec engine = service.engine();
      if (engine == null) {
        continue;
      }
      for (PlannedGroup group :
          LostGroups.find(restored, service.name(), engine, context.upstreams(), assignedHosts)) {
        if (!managedGroups.containsKey(group.name()) && verifiedGroups.add(group.name())) {
          verifyLost(group);
        }
      }
    }
  }

  private void verifyLost(PlannedGroup group) {
    Set<String> unverified = new HashSet<>(group.members());
    for (String id : group.members()) {
      Upstream member = Objects.requireNonNull(context.upstream(id));
      prober.probe(
          member,
          reply -> {
            Membership membership =
                reply instanceof ReportReply.Received report
                        && report.startedAtMs() == member.startedAtMs()
                    ? report.status().membership()
                    : null;
            boolean isServing =
                membership != null
                    && membership.isOf(group.name(), group.epoch())
                    && group.members().indexOf(id) == membership.rank()
                    && (membership.rank() != 0 || membership.state() == MemberState.OPEN);
            if (!isServing) {
              // asked again while it is listed
              verifiedGroups.remove(group.name());
            } else if (unverified.remove(id) && unverified.isEmpty() && role.isPlanner()) {
              adoptedGroups.add(group);
            }
          });
    }
  }

  private void onAdopted(List<PlannedGroup> adopted) {
    long nowMs = clock.nowMs();
    for (PlannedGroup group : adopted) {
      adoptedGroups.remove(group);
      ManagedGroup managed = new ManagedGroup(group, nowMs);
      managed.mayBeOpen = true;
      managed.isTakenOver = true;
      managedGroups.put(group.name(), managed);
      log.write(
          LogEvent.GROUP_ADOPTED,
          "group",
          group.name(),
          "epoch",
          group.epoch(),
          "model",
          group.model(),
          "members",
          String.join(" ", group.members()));
    }
  }

  private PlannedGroup plannedGroup(String service, Formation.NewGroup group) {
    lastEpoch++;
    return new PlannedGroup(
        "g" + lastEpoch, lastEpoch, service, group.model(), group.members(), Phase.FORMING);
  }

  private void onPlanWritten(List<PlannedGroup> released, List<PlannedGroup> created) {
    long nowMs = clock.nowMs();
    for (PlannedGroup group : released) {
      ManagedGroup managed = managedGroups.remove(group.name());
      log.write(
          LogEvent.GROUP_ENDED,
          "group",
          group.name(),
          "epoch",
          group.epoch(),
          "reason",
          managed == null ? "" : managed.releaseReason);
    }
    for (PlannedGroup group : created) {
      ManagedGroup managed = new ManagedGroup(group, nowMs);
      managedGroups.put(group.name(), managed);
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
      stepForming(managed, nowMs);
    }
  }
}
