package org.limpetring.groups.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.LogEvent;
import org.limpetring.groups.MemberOrder;
import org.limpetring.groups.MemberPort;
import org.limpetring.groups.OrderResult;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.monitor.GroupMetrics;
import org.limpetring.groups.monitor.ReportRegistry;
import org.limpetring.groups.order.OrderPlanner;
import org.limpetring.groups.order.OrderPolicy;
import org.limpetring.groups.plan.GroupPlanner;
import org.limpetring.groups.plan.PlannerDecision;
import org.limpetring.groups.plan.PlannerInput;
import org.limpetring.tables.AcceptedConfig;

/**
 * Runs a round of planning and orders for a fabric domain.
 *
 * <p>Plans on top of the latest known plan, writes the result conditionally and then sends orders.
 * Right before each order, the planner role and the age of the round are checked; for engines that
 * ignore fencing tokens, the version of the plan is also read again. Runs on one thread.
 */
final class PlannerRound {

  private static final Logger LOGGER = Logger.getLogger(PlannerRound.class);

  private final Clock clock;
  private final PlanStore store;
  private final PlanCache cache;
  private final MemberPort members;
  private final GroupInputs inputs;
  private final ControlSettings settings;
  private final Map<FabricDomain, DomainPlanners> deciders = new HashMap<>();
  private final ConcurrentLinkedQueue<SentOrder> sentOrders = new ConcurrentLinkedQueue<>();

  PlannerRound(
      Clock clock,
      PlanStore store,
      PlanCache cache,
      MemberPort members,
      GroupInputs inputs,
      ControlSettings settings) {
    this.clock = clock;
    this.store = store;
    this.cache = cache;
    this.members = members;
    this.inputs = inputs;
    this.settings = settings;
  }

  void run(Domain domain, AcceptedConfig config, ReportRegistry reports, GroupStates states) {
    if (!inputs.mayPlan(domain.name())) {
      return;
    }
    long startedMs = clock.nowMs();
    @Nullable StoredPlan stored = cache.get(domain.name());
    if (stored == null) {
      refresh(domain.name());
      return;
    }
    DomainPlanners planners =
        deciders.computeIfAbsent(domain.name(), name -> new DomainPlanners(settings));
    PlannerDecision decision =
        planners.planner.plan(input(stored.plan(), config, reports, states), startedMs);
    if (decision instanceof PlannerDecision.Replace replace) {
      stored = store.replace(stored, replace.plan());
      if (stored == null) {
        refresh(domain.name());
        return;
      }
      cache.offer(stored);
    }
    sendOrders(domain, stored, reports, planners, states, startedMs);
  }

  private void refresh(FabricDomain domain) {
    @Nullable StoredPlan latest = store.read(domain);
    if (latest != null) {
      cache.offer(latest);
    }
  }

  /** Returns the orders sent since the last call; thread-safe. */
  List<SentOrder> drainSentOrders() {
    List<SentOrder> drained = new ArrayList<>();
    for (SentOrder next = sentOrders.poll(); next != null; next = sentOrders.poll()) {
      drained.add(next);
    }
    return drained;
  }

  private PlannerInput input(
      Plan plan, AcceptedConfig config, ReportRegistry reports, GroupStates states) {
    List<Plan> others =
        cache.all().stream().filter(other -> !other.domain().equals(plan.domain())).toList();
    return new PlannerInput(
        plan,
        others,
        config.pools(),
        config.marks(),
        inputs.hosts(),
        reports,
        states.serving(),
        states.silent());
  }

  private void sendOrders(
      Domain domain,
      StoredPlan stored,
      ReportRegistry reports,
      DomainPlanners planners,
      GroupStates states,
      long startedMs) {
    OrderPolicy policy =
        new OrderPolicy(
            settings.planner().freshMs(),
            settings.orderRetryMs(),
            loadShare(domain.name(), states));
    List<MemberOrder> due =
        planners.orders.due(
            stored.plan(), domain.addresses().keySet(), reports, policy, clock.nowMs());
    for (MemberOrder order : due) {
      if (!maySend(domain, stored, order, startedMs)) {
        return;
      }
      send(domain, order);
      planners.orders.onSent(order, clock.nowMs());
    }
  }

  /**
   * Number of concurrent weight loads of one domain: the limit of the weight store divided by the
   * number of domains that have a closed group, this domain included.
   */
  private int loadShare(FabricDomain domain, GroupStates states) {
    int sharingDomains = 1;
    for (Plan plan : cache.all()) {
      boolean hasClosed =
          plan.groups().stream()
              .filter(group -> group.state() == PlannedGroup.State.SERVING)
              .anyMatch(group -> !states.serving().contains(group.id()));
      sharingDomains += hasClosed && !plan.domain().equals(domain) ? 1 : 0;
    }
    return Math.max(1, inputs.weights().loadsAtOnce() / sharingDomains);
  }

  private boolean maySend(Domain domain, StoredPlan stored, MemberOrder order, long startedMs) {
    if (!domain.fenced().contains(order.host())) {
      @Nullable StoredPlan latest = store.read(domain.name());
      if (latest == null) {
        return withhold("platform unavailable");
      }
      cache.offer(latest);
      if (latest.version() != stored.version()) {
        return withhold("plan changed");
      }
    }
    if (!inputs.mayPlan(domain.name())) {
      return withhold("role lost");
    }
    return clock.nowMs() - startedMs <= settings.maxRoundMs() || withhold("paused");
  }

  private static boolean withhold(String reason) {
    GroupMetrics.ORDERS_WITHHELD.labelValues(reason).inc();
    return false;
  }

  private void send(Domain domain, MemberOrder order) {
    @Nullable String address = domain.addresses().get(order.host());
    if (address == null) {
      return;
    }
    LogEvent.ORDER_SENT.log(LOGGER, order.kind(), order.host());
    OrderResult result = members.order(address, order);
    sentOrders.add(new SentOrder(order.host(), clock.nowMs()));
    GroupMetrics.ORDERS.labelValues(order.kind().name(), result.getClass().getSimpleName()).inc();
    if (!(result instanceof OrderResult.Taken)) {
      LogEvent.ORDER_FAILED.log(LOGGER, order.kind(), order.host(), result);
    }
  }

  /** Groups that serve, and groups with a member that no observer can reach. */
  record GroupStates(Set<GroupId> serving, Set<GroupId> silent) {

    GroupStates {
      serving = Set.copyOf(serving);
      silent = Set.copyOf(silent);
    }
  }

  /** Order that was sent. */
  record SentOrder(HostId host, long sentMs) {}

  /**
   * Fabric domain with its upstreams.
   *
   * @param addresses {@code ip:port} by host
   * @param fenced hosts whose engines reject stale fencing tokens
   */
  record Domain(FabricDomain name, Map<HostId, String> addresses, Set<HostId> fenced) {

    Domain {
      addresses = Map.copyOf(addresses);
      fenced = Set.copyOf(fenced);
    }

    static Domain of(FabricDomain name, Topology topology) {
      Map<HostId, String> addresses = new HashMap<>();
      Set<HostId> fenced = new HashSet<>();
      for (HostId host : topology.controllableHosts(name)) {
        @Nullable String address = topology.address(host);
        if (address != null) {
          addresses.put(host, address);
        }
        if (topology.checksFencing(host)) {
          fenced.add(host);
        }
      }
      return new Domain(name, addresses, fenced);
    }
  }

  /** Group and order planner of one domain, with the state that they keep between rounds. */
  private static final class DomainPlanners {
    private final GroupPlanner planner;
    private final OrderPlanner orders = new OrderPlanner();

    DomainPlanners(ControlSettings settings) {
      this.planner = new GroupPlanner(settings.planner());
    }
  }
}
