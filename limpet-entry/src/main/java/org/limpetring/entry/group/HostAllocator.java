package org.limpetring.entry.group;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.DecisionLog;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.EngineStatus;
import org.limpetring.entry.model.Membership;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.PlannedGroup;
import org.limpetring.entry.model.PlannedGroup.Phase;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.port.EngineOrder;
import org.limpetring.entry.port.OrderReply;

/**
 * Selects free hosts for new groups and prepares the remaining ones: empty hosts load a model
 * within the weight store's rate, spares with staged weights warm up.
 */
final class HostAllocator {

  /** Name prefix of single-host warm-up groups, which never open. */
  private static final String SPARE_GROUP_PREFIX = "spare-";

  /**
   * Time without growth of the host list before the first groups form; longer than the pause
   * between two watches.
   */
  private static final long SETTLE_MS = 1_200;

  /** Added to four times the usual load time to get the deadline of a load. */
  private static final long LOAD_SLACK_MS = 6_000;

  /** An order to leave without a visible effect is retried after this time. */
  private static final long LEAVE_RETRY_MS = 350;

  /** A warm-up order without a visible effect is retried after this time. */
  private static final long WARM_RETRY_MS = 2_800;

  /**
   * Fraction of the weight store's rate that is used: a new planner does not know the loads that
   * the last one began.
   */
  private static final double LOAD_RATE_FRACTION = 0.8;

  private static final double MS_PER_S = 1_000;

  /**
   * Load in progress.
   *
   * @param isInferred whether the model is inferred: the host only reported that it is busy
   * @param stagedBefore models that were staged on the host when the load was ordered
   */
  private record Load(
      String model,
      long startedMs,
      long hostStartedAtMs,
      long timeoutMs,
      boolean isInferred,
      List<String> stagedBefore) {}

  /** An order to load that was not answered is sent again after this time. */
  private static final long STAGE_RETRY_MS = 1_000;

  /** Free hosts of a pool, and number of loads in progress. */
  record PoolUse(List<FreeHost> free, int loading) {}

  private final GroupManager.Context context;
  private final OrderSender orders;
  private final ConditionalOrders conditionalOrders;
  private final HostProber prober;
  private final DecisionLog log;
  private final Map<String, Load> loads = new HashMap<>();

  /** When orders to load were found to be unanswered, by host. */
  private final Map<String, Long> unansweredLoadsMs = new HashMap<>();

  private final Map<String, String> lastModelByIncarnation = new HashMap<>();
  private final Map<String, Long> warmSentMs = new HashMap<>();
  private final Map<String, Long> leaveSentMs = new HashMap<>();

  /** Released groups whose heads never opened them or can't serve them again, as name/epoch. */
  private final Set<String> stoppedHeadGroups = new HashSet<>();

  /** Groups that were logged as serving again. */
  private final Set<String> reopenedGroups = new HashSet<>();

  private final HostReservations reservations = new HostReservations();

  private final Map<String, PoolUse> poolUses = new HashMap<>();
  private double loadTokens;
  private long tokensRefilledMs;
  private int maxHostCount;
  private long countsLoggedMs = Long.MIN_VALUE / 2;
  private long lastGrowthMs = Long.MIN_VALUE / 2;

  HostAllocator(
      GroupManager.Context context,
      OrderSender orders,
      ConditionalOrders conditionalOrders,
      HostProber prober,
      DecisionLog log) {
    this.context = context;
    this.orders = orders;
    this.conditionalOrders = conditionalOrders;
    this.prober = prober;
    this.log = log;
  }

  /**
   * Discards what this planner knows: loads in progress are rebuilt from the host list, and another
   * planner may serve groups that this one took for ended.
   */
  void reset() {
    loads.clear();
    unansweredLoadsMs.clear();
    leaveSentMs.clear();
    stoppedHeadGroups.clear();
    reopenedGroups.clear();
    reservations.reset();
    poolUses.clear();
  }

  /** How the hosts of a pool were used at the last allocation; null before it. */
  @Nullable PoolUse poolUse(String service) {
    return poolUses.get(service);
  }

  /** Reserves the first {@code hosts} members of a group for another model. */
  void reserve(PlannedGroup group, ModelSpec model, int hosts, long nowMs) {
    reservations.reserve(group, model, hosts, context, nowMs);
  }

  /** Records that a host has begun to join a group of a model. */
  void onJoinStarted(Upstream host, String model) {
    lastModelByIncarnation.put(host.incarnation(), model);
  }

  /** Records that the group's head is confirmed to have stopped serving it. */
  void onHeadStopped(PlannedGroup group) {
    stoppedHeadGroups.add(group.name() + '/' + group.epoch());
  }

  /**
   * Whether the host list has stopped growing, so that all hosts of a fabric domain are considered
   * together.
   */
  private boolean isHostListSettled(long nowMs) {
    int count = 0;
    for (Upstream upstream : context.upstreams()) {
      count += upstream.engine() == null ? 0 : 1;
    }
    if (count > maxHostCount) {
      maxHostCount = count;
      lastGrowthMs = nowMs;
    }
    return context.isTrafficSeen() || nowMs - lastGrowthMs >= SETTLE_MS;
  }

  /**
   * Decides which groups of a pool form now, and orders spare hosts to load and warm up.
   *
   * @param groups all planned groups
   * @param assignedHosts members of planned groups
   * @param lastEpoch highest epoch assigned to a group
   */
  List<Formation.NewGroup> allocate(
      String service,
      EngineSpec engine,
      Collection<PlannedGroup> groups,
      Set<String> assignedHosts,
      long lastEpoch,
      long nowMs) {
    if (!isHostListSettled(nowMs)) {
      return List.of();
    }
    loads.entrySet().removeIf(each -> isLoadOver(each.getKey(), each.getValue(), nowMs));
    repeatUnansweredLoads(engine, nowMs);
    leaveSentMs.values().removeIf(sentMs -> nowMs - sentMs >= LEAVE_RETRY_MS);
    reservations.removeEnded(engine, context, nowMs);
    Map<String, Integer> groupsByModel = new HashMap<>();
    Map<String, Integer> servingByModel = new HashMap<>();
    Map<String, String> plannedModelByHost = new HashMap<>();
    int loading = 0;
    for (PlannedGroup group : groups) {
      group.members().forEach(id -> plannedModelByHost.put(id, group.model()));
      if (group.service().equals(service)
          && group.phase() != Phase.ENDING
          && !isInDomainOut(group)) {
        groupsByModel.merge(group.model(), 1, Integer::sum);
        if (group.phase() == Phase.FORMING) {
          loading += unstagedMembers(group);
        } else {
          servingByModel.merge(group.model(), 1, Integer::sum);
        }
      }
    }
    List<FreeHost> free = new ArrayList<>();
    Map<String, Map<String, Integer>> modelsByDomain = new HashMap<>();
    for (Upstream upstream : context.upstreams()) {
      EngineStatus status = upstream.engine();
      if (status == null || !upstream.service().equals(service)) {
        continue;
      }
      Load load = loads.get(upstream.id());
      String staged = status.staged().isEmpty() ? null : status.staged().get(0);
      String plannedModel = plannedModelByHost.get(upstream.id());
      String heldModel = plannedModel != null ? plannedModel : load != null ? load.model() : staged;
      if (heldModel != null) {
        modelsByDomain
            .computeIfAbsent(status.fabricDomain(), key -> new HashMap<>())
            .merge(heldModel, 1, Integer::sum);
      }
      if (load != null) {
        loading++;
      }
      if (isFree(upstream, assignedHosts, nowMs)) {
        free.add(
            new FreeHost(
                upstream.id(),
                status.fabricDomain(),
                staged,
                load == null ? null : load.model(),
                lastModelByIncarnation.get(upstream.incarnation()),
                reservations.model(upstream.id())));
      }
    }
    poolUses.put(service, new PoolUse(List.copyOf(free), loading));
    logHostCounts(service, engine, groupsByModel, free, loading, nowMs);
    refillLoadTokens(engine, nowMs);
    int loadsLeft =
        context.isTrafficSeen()
            ? (int) Math.max(0, Math.min(loadTokens, engine.loadsAtOnce() - loading))
            : Integer.MAX_VALUE;
    Map<String, ModelDemand> demands = new HashMap<>();
    for (ModelSpec model : engine.models()) {
      demands.put(model.name(), context.demand(model.name()));
    }
    Formation.Decision decision =
        Formation.decide(
            engine, free, groupsByModel, servingByModel, modelsByDomain, demands, loadsLeft);
    for (Formation.NewGroup group : decision.groups()) {
      loadTokens -= group.loads();
    }
    for (Formation.Staging staging : decision.stagings()) {
      stage(staging, engine, nowMs);
    }
    warmSpares(free, decision, lastEpoch, nowMs);
    return decision.groups();
  }

  /** Whether the group's head is in a failure domain out of service. */
  private boolean isInDomainOut(PlannedGroup group) {
    Upstream head = context.upstream(group.head());
    return head != null && context.domainsOut().contains(head.failureDomain());
  }

  private void warmSpares(
      List<FreeHost> free, Formation.Decision decision, long lastEpoch, long nowMs) {
    Set<String> selectedHosts = new HashSet<>();
    for (Formation.NewGroup group : decision.groups()) {
      selectedHosts.addAll(group.members());
    }
    for (FreeHost host : free) {
      if (!selectedHosts.contains(host.id()) && host.reservedModel() == null) {
        warm(host, lastEpoch, nowMs);
      }
    }
  }

  private int unstagedMembers(PlannedGroup group) {
    int count = 0;
    for (String id : group.members()) {
      Upstream member = context.upstream(id);
      EngineStatus status = member == null ? null : member.engine();
      if (status != null && !status.staged().contains(group.model())) {
        count++;
      }
    }
    return count;
  }

  /** Logs once a second how the pool's hosts are used. */
  private void logHostCounts(
      String service,
      EngineSpec engine,
      Map<String, Integer> groupsByModel,
      List<FreeHost> free,
      int loading,
      long nowMs) {
    if (nowMs - countsLoggedMs < MS_PER_S) {
      return;
    }
    countsLoggedMs = nowMs;
    Map<String, Integer> spares = new TreeMap<>();
    for (FreeHost host : free) {
      String label =
          host.loadingModel() != null ? "loading " + host.loadingModel() : host.stagedModel();
      spares.merge(host.fabricDomain() + ' ' + (label == null ? "empty" : label), 1, Integer::sum);
    }
    log.write(
        LogEvent.HOSTS_COUNTED,
        "service",
        service,
        "groups",
        groupsByModel,
        "models",
        engine.models(),
        "spares",
        spares,
        "loading",
        loading,
        "silent",
        prober.unresponsiveCount());
  }

  /**
   * Makes a spare host read its staged weights ahead of time by joining a single-host group that
   * never opens: an engine joins many times faster if its previous group had the same model.
   */
  private void warm(FreeHost spare, long lastEpoch, long nowMs) {
    Upstream host = context.upstream(spare.id());
    String model = spare.stagedModel();
    if (host == null
        || model == null
        || spare.loadingModel() != null
        || model.equals(spare.lastModel())
        || host.membership() != null) {
      return;
    }
    Long sentMs = warmSentMs.get(host.incarnation());
    if (sentMs != null && nowMs - sentMs < WARM_RETRY_MS) {
      return;
    }
    warmSentMs.put(host.incarnation(), nowMs);
    EngineOrder join =
        new EngineOrder.Join(SPARE_GROUP_PREFIX + host.id(), lastEpoch, model, List.of(host.id()));
    conditionalOrders.send(
        host,
        join,
        Objects::isNull,
        outcome -> {
          if (outcome instanceof ConditionalOrders.Outcome.Sent sent && sent.reply().isAccepted()) {
            onJoinStarted(host, model);
          }
        });
  }

  private void refillLoadTokens(EngineSpec engine, long nowMs) {
    double tokensPerMs = engine.loadsPerSecond() * LOAD_RATE_FRACTION / MS_PER_S;
    double capacity = Math.max(1, engine.loadsAtOnce());
    loadTokens = Math.min(capacity, loadTokens + (nowMs - tokensRefilledMs) * tokensPerMs);
    tokensRefilledMs = nowMs;
  }

  private void stage(Formation.Staging staging, EngineSpec engine, long nowMs) {
    Upstream host = context.upstream(staging.host());
    ModelSpec model = engine.model(staging.model());
    if (host == null || model == null) {
      return;
    }
    Membership membership = host.membership();
    if (membership != null && !conditionalOrders.hasLeft(host, membership, nowMs)) {
      // a member of an ended group still keeps the weights of that group's model
      leave(host, membership, nowMs);
      return;
    }
    loadTokens -= 1;
    conditionalOrders.forget(host);
    loads.put(
        host.id(),
        new Load(
            model.name(),
            nowMs,
            host.startedAtMs(),
            LOAD_SLACK_MS + 4 * model.loadMs(),
            false,
            stagedModels(host)));
    orderLoad(host, model, nowMs);
  }

  private void orderLoad(Upstream host, ModelSpec model, long nowMs) {
    unansweredLoadsMs.remove(host.id());
    orders.send(
        host,
        new EngineOrder.Stage(model.name()),
        reply -> {
          if (reply == OrderReply.UNFIT) {
            // a previous planner already ordered a load, possibly of another model
            loads.put(
                host.id(),
                new Load(
                    model.name(),
                    nowMs,
                    host.startedAtMs(),
                    model.loadMs(),
                    true,
                    stagedModels(host)));
          } else if (reply == OrderReply.UNKNOWN) {
            unansweredLoadsMs.put(host.id(), nowMs);
          } else if (!reply.isAccepted()) {
            loads.remove(host.id());
          }
        });
  }

  /**
   * Sends orders to load again that were not answered, so that a lost one does not keep its place
   * at the weight store unused. A host that loads already refuses the second one.
   */
  private void repeatUnansweredLoads(EngineSpec engine, long nowMs) {
    unansweredLoadsMs.keySet().retainAll(loads.keySet());
    for (Map.Entry<String, Long> each : Map.copyOf(unansweredLoadsMs).entrySet()) {
      Load load = loads.get(each.getKey());
      Upstream host = context.upstream(each.getKey());
      ModelSpec model = load == null ? null : engine.model(load.model());
      if (host != null && model != null && nowMs - each.getValue() >= STAGE_RETRY_MS) {
        orderLoad(host, model, nowMs);
      }
    }
  }

  private static List<String> stagedModels(Upstream host) {
    EngineStatus status = host.engine();
    return status == null ? List.of() : status.staged();
  }

  private boolean isFree(Upstream upstream, Set<String> assignedHosts, long nowMs) {
    if (assignedHosts.contains(upstream.id())
        || upstream.isLeaving()
        || prober.isUnresponsive(upstream)
        || context.domainsOut().contains(upstream.failureDomain())) {
      return false;
    }
    Membership membership = upstream.membership();
    if (membership == null || isSpareGroup(membership)) {
      return true;
    }
    if (mayBeUnplanned(membership, nowMs)) {
      return false;
    }
    Upstream head = listedHead(upstream, membership);
    if (isUnbound(upstream, membership, head, nowMs)) {
      return true;
    }
    if (head != null) {
      logIfReopened(head, membership);
    }
    // the head leaves first if it is listed; otherwise the host leaves by itself and belongs to no
    // group
    leave(head == null ? upstream : head, membership, nowMs);
    return false;
  }

  /**
   * Whether a membership may be one in a group that a restored plan lacks. Its hosts are left alone
   * until it has been found, or for the time in which that is expected.
   */
  boolean mayBeUnplanned(Membership membership, long nowMs) {
    RestoredPlan restored = conditionalOrders.restoredPlan(nowMs);
    return restored != null
        && restored.mayLack(membership)
        && !isSpareGroup(membership)
        && !stoppedHeadGroups.contains(membership.group() + '/' + membership.epoch());
  }

  private static boolean isSpareGroup(Membership membership) {
    return membership.group().startsWith(SPARE_GROUP_PREFIX);
  }

  /**
   * Whether the host may be planned for another group: it, or the head of its listed group, has
   * left or does not serve. A ready head may still open, so {@link #mayJoin} is asked before the
   * join.
   */
  private boolean isUnbound(
      Upstream host, Membership membership, @Nullable Upstream head, long nowMs) {
    if (conditionalOrders.hasLeft(host, membership, nowMs)) {
      return true;
    }
    if (head == null || conditionalOrders.hasLeft(head, membership, nowMs)) {
      return stoppedHeadGroups.contains(membership.group() + '/' + membership.epoch());
    }
    return !Objects.requireNonNull(head.membership()).state().holdsMembers();
  }

  /**
   * Whether a host that reports that membership, null if none, may be ordered to join a planned
   * group: its present group, if any, never serves again.
   */
  boolean mayJoin(@Nullable Membership membership, PlannedGroup group) {
    return membership == null
        || isSpareGroup(membership)
        || membership.isOf(group.name(), group.epoch())
        || stoppedHeadGroups.contains(membership.group() + '/' + membership.epoch());
  }

  /** Orders a host to leave a group, unless it was ordered to a short time ago. */
  void leave(Upstream host, Membership membership, long nowMs) {
    String key = host.incarnation() + membership.group();
    Long sentMs = leaveSentMs.get(key);
    if (sentMs != null && nowMs - sentMs < LEAVE_RETRY_MS) {
      return;
    }
    leaveSentMs.put(key, nowMs);
    orders.send(
        host,
        new EngineOrder.Leave(membership.group(), membership.epoch()),
        reply -> {
          if (reply.isAccepted()) {
            conditionalOrders.onLeft(host, membership.group(), membership.epoch(), nowMs);
          } else {
            conditionalOrders.forget(host);
          }
        });
  }

  private void logIfReopened(Upstream head, Membership membership) {
    String group = membership.group() + '/' + membership.epoch();
    if (stoppedHeadGroups.contains(group) && reopenedGroups.add(group)) {
      log.write(
          LogEvent.GROUP_REOPENED,
          "group",
          membership.group(),
          "epoch",
          membership.epoch(),
          "head",
          head.id());
    }
  }

  /** The listed head of the member's group, or null. */
  private @Nullable Upstream listedHead(Upstream member, Membership membership) {
    for (Upstream other : context.upstreams()) {
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

  private boolean isLoadOver(String host, Load load, long nowMs) {
    Upstream upstream = context.upstream(host);
    if (upstream == null
        || upstream.startedAtMs() != load.hostStartedAtMs()
        || nowMs - load.startedMs() > load.timeoutMs()) {
      return true;
    }
    EngineStatus status = upstream.engine();
    if (status == null) {
      return false;
    }
    return load.isInferred()
        ? !status.staged().equals(load.stagedBefore())
        : status.staged().contains(load.model());
  }
}
