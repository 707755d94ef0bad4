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
 * Knows which hosts are free for new groups, and readies those that are not needed yet: empty hosts
 * load a model within the weight store's rate, loaded spares warm up.
 */
final class HostSupply {

  /** Begins the names of groups of one host that never open. */
  private static final String SPARE = "spare-";

  /** Pause in the list's growth after which the first groups form; above the pause of a watch. */
  private static final long SETTLE_MS = 1_200;

  /** A load that takes this much longer than four times its usual time is given up. */
  private static final long LOAD_SLACK_MS = 6_000;

  /** An order to warm up without a visible effect is sent again after this time. */
  private static final long REWARM_MS = 2_800;

  /** Part of the weight store's rate that is used. */
  private static final double LOAD_RATE_PART = 0.8;

  private static final double MS_PER_S = 1_000;

  /** Load in progress; {@code isAssumed} where the host only said that it is busy. */
  private record Load(
      String model, long startedMs, long startedAtMs, long limitMs, boolean isAssumed) {}

  private final GroupKeeper.Surroundings surroundings;
  private final EngineOrders orders;
  private final HostProbes probes;
  private final DecisionLog log;
  private final Map<String, Load> loads = new HashMap<>();
  private final Map<String, String> lastModels = new HashMap<>();
  private final Map<String, Long> warmSentMs = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();

  /** Groups whose heads certainly serve them no more, by name and epoch. */
  private final Set<String> headlessGroups = new HashSet<>();

  private double loadTokens;
  private long loadRefilledMs;
  private int mostHosts;
  private long countedMs = Long.MIN_VALUE / 2;
  private long grownMs = Long.MIN_VALUE / 2;

  HostSupply(
      GroupKeeper.Surroundings surroundings,
      EngineOrders orders,
      HostProbes probes,
      DecisionLog log) {
    this.surroundings = surroundings;
    this.orders = orders;
    this.probes = probes;
    this.log = log;
  }

  /** Forgets loads in progress; they are found again from the list. */
  void reset() {
    loads.clear();
  }

  /** A host has begun to join a group of a model. */
  void onJoined(Upstream host, String model) {
    lastModels.put(host.incarnation(), model);
  }

  /** The group's head certainly serves it no more. */
  void onHeadOut(PlannedGroup group) {
    headlessGroups.add(group.name() + '/' + group.epoch());
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

  /**
   * Decides which groups of a pool form now, and has spare hosts load and warm up.
   *
   * @param groups all planned groups
   * @param bound hosts that planned groups hold
   * @param lastEpoch highest epoch that was given to a group
   */
  List<Formation.NewGroup> form(
      String service,
      EngineSpec engine,
      Collection<PlannedGroup> groups,
      Set<String> bound,
      long lastEpoch,
      long nowMs) {
    if (!isSettled(nowMs)) {
      return List.of();
    }
    loads.entrySet().removeIf(each -> isLoadOver(each.getKey(), each.getValue(), nowMs));
    Map<String, Integer> groupsByModel = new HashMap<>();
    Map<String, String> plannedModels = new HashMap<>();
    int loading = 0;
    for (PlannedGroup group : groups) {
      group.members().forEach(id -> plannedModels.put(id, group.model()));
      if (group.service().equals(service) && group.phase() != Phase.ENDING) {
        groupsByModel.merge(group.model(), 1, Integer::sum);
        if (group.phase() == Phase.FORMING) {
          loading += unstagedMembers(group);
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
      String held = planned != null ? planned : load != null ? load.model() : staged;
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
                load == null ? null : load.model(),
                lastModels.get(upstream.incarnation())));
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
      loadTokens -= group.loads();
    }
    for (Formation.Staging staging : decision.stagings()) {
      stage(staging, engine, nowMs);
    }
    warmSpares(free, decision, lastEpoch, nowMs);
    return decision.groups();
  }

  private void warmSpares(
      List<FreeHost> free, Formation.Decision decision, long lastEpoch, long nowMs) {
    Set<String> taken = new HashSet<>();
    for (Formation.NewGroup group : decision.groups()) {
      taken.addAll(group.members());
    }
    for (FreeHost host : free) {
      if (!taken.contains(host.id())) {
        warm(host, lastEpoch, nowMs);
      }
    }
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
        probes.silentCount());
  }

  /**
   * Has a spare host read its staged weights ahead of time, in a group of its own that never opens:
   * an engine joins a group of the model of its last group many times faster.
   */
  private void warm(FreeHost spare, long lastEpoch, long nowMs) {
    Upstream host = surroundings.upstream(spare.id());
    String model = spare.stagedModel();
    if (host == null
        || model == null
        || spare.loadingModel() != null
        || model.equals(spare.lastModel())
        || host.membership() != null) {
      return;
    }
    Long sentMs = warmSentMs.get(host.incarnation());
    if (sentMs != null && nowMs - sentMs < REWARM_MS) {
      return;
    }
    warmSentMs.put(host.incarnation(), nowMs);
    EngineOrder join =
        new EngineOrder.Join(SPARE + host.id(), lastEpoch, model, List.of(host.id()));
    orders.send(
        host,
        join,
        reply -> {
          if (reply.isAccepted()) {
            onJoined(host, model);
          }
        });
  }

  private void refillLoads(EngineSpec engine, long nowMs) {
    double perMs = engine.loadsPerSecond() * LOAD_RATE_PART / MS_PER_S;
    double most = Math.max(1, engine.loadsAtOnce());
    loadTokens = Math.min(most, loadTokens + (nowMs - loadRefilledMs) * perMs);
    loadRefilledMs = nowMs;
  }

  private void stage(Formation.Staging staging, EngineSpec engine, long nowMs) {
    Upstream host = surroundings.upstream(staging.host());
    ModelSpec model = engine.model(staging.model());
    if (host == null || model == null) {
      return;
    }
    loadTokens -= 1;
    loads.put(
        host.id(),
        new Load(
            model.name(), nowMs, host.startedAtMs(), LOAD_SLACK_MS + 4 * model.loadMs(), false));
    orders.send(
        host,
        new EngineOrder.Stage(model.name()),
        reply -> {
          if (reply == OrderReply.UNFIT) {
            // an earlier planner has had it load already, perhaps another model
            loads.put(
                host.id(), new Load(model.name(), nowMs, host.startedAtMs(), model.loadMs(), true));
          } else if (!reply.isAccepted() && reply != OrderReply.UNKNOWN) {
            loads.remove(host.id());
          }
        });
  }

  private boolean isFree(Upstream upstream, Set<String> bound) {
    if (bound.contains(upstream.id())
        || upstream.isLeaving()
        || probes.isSilent(upstream)
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
    if (leaving.add(told.incarnation() + membership.group())) {
      orders.send(
          told,
          new EngineOrder.Leave(membership.group(), membership.epoch()),
          reply -> leaving.remove(told.incarnation() + membership.group()));
    }
    return false;
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

  private boolean isLoadOver(String host, Load load, long nowMs) {
    Upstream upstream = surroundings.upstream(host);
    if (upstream == null
        || upstream.startedAtMs() != load.startedAtMs()
        || nowMs - load.startedMs() > load.limitMs()) {
      return true;
    }
    EngineStatus status = upstream.engine();
    if (status == null) {
      return false;
    }
    return load.isAssumed() ? !status.staged().isEmpty() : status.staged().contains(load.model());
  }
}
