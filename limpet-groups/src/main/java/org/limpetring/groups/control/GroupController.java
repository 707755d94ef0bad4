package org.limpetring.groups.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberPort;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlanCodec;
import org.limpetring.groups.PlannedGroup;
import org.limpetring.groups.ServingGroup;
import org.limpetring.groups.ServingView;
import org.limpetring.groups.monitor.GroupMonitor;
import org.limpetring.groups.monitor.MergedGroup;
import org.limpetring.groups.monitor.Observation;
import org.limpetring.groups.monitor.ObservationMerger;
import org.limpetring.groups.monitor.ObservedGroup;
import org.limpetring.groups.monitor.ReportRegistry;
import org.limpetring.groups.monitor.Target;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.StoredObject;
import org.limpetring.tables.AcceptedConfig;

/**
 * Runs planning, orders and group monitoring of one daemon.
 *
 * <p>{@link #tick} is called by one scheduler thread about four times a second and never blocks:
 * polls run on one executor, platform calls and orders on another. Readers use an immutable
 * snapshot held in an atomic reference.
 */
public final class GroupController {

  private final DaemonId self;
  private final Clock clock;
  private final GroupInputs inputs;
  private final ControlSettings settings;
  private final PlanStore planStore;
  private final PlanCache plans = new PlanCache();
  private final Topology topology = new Topology();
  private final ReportPoller poller;
  private final GroupMonitor monitor;
  private final ObservationMerger merger;
  private final PlannerRound plannerRound;
  private final Executor planExecutor;
  private final AtomicBoolean isPlanning = new AtomicBoolean();
  private final ConcurrentLinkedQueue<ReceivedObservation> received = new ConcurrentLinkedQueue<>();
  private final AtomicReference<ServingView> view = new AtomicReference<>(ServingView.EMPTY);
  private final AtomicReference<Observation> ownObservation;
  private List<ObservedGroup> published = List.of();
  private long lastPublishMs;
  private long lastPlanMs = Long.MIN_VALUE / 2;
  private long lastPlanReadMs = Long.MIN_VALUE / 2;

  /**
   * Creates a controller; it does nothing until {@link #tick} is called.
   *
   * @param reportExecutor runs the blocking polls for reports; a small pool
   * @param planExecutor runs blocking platform calls and orders; one thread
   */
  public GroupController(
      DaemonId self,
      Clock clock,
      ObjectStore store,
      MemberPort members,
      GroupInputs inputs,
      ControlSettings settings,
      Executor reportExecutor,
      Executor planExecutor) {
    this.self = self;
    this.clock = clock;
    this.inputs = inputs;
    this.settings = settings;
    this.planStore = new PlanStore(store, self);
    this.poller = new ReportPoller(clock, members, reportExecutor, settings.pollIntervalMs());
    this.monitor = new GroupMonitor(settings.freshMs());
    this.merger = new ObservationMerger(settings.freshMs());
    this.plannerRound = new PlannerRound(clock, planStore, plans, members, inputs, settings);
    this.planExecutor = planExecutor;
    this.ownObservation = new AtomicReference<>(new Observation(self, 0, 0, List.of()));
  }

  /** Runs the tasks that are due. */
  public void tick() {
    AcceptedConfig config = inputs.config();
    topology.update(config, inputs.hosts());
    poller.drainResults().forEach(this::onPollResult);
    plannerRound.drainSentOrders().forEach(sent -> monitor.onOrder(sent.host(), sent.sentMs()));
    List<Target> targets = topology.targets(plans.all());
    poller.poll(addressesToPoll(targets));
    publish(observe(targets));
    refreshView();
    startPlanning(config);
  }

  /** Receives the observation of another daemon; thread-safe. */
  public void onObservation(Observation observation) {
    received.add(new ReceivedObservation(observation, clock.nowMs()));
  }

  /** Receives a plan from a watch or a peer; thread-safe. */
  public void onPlan(StoredObject object) {
    plans.offer(new StoredPlan(PlanCodec.decode(object.value()), object.version()));
  }

  /** This daemon's own observation; its version increases whenever it has to be sent to peers. */
  public Observation observation() {
    return Objects.requireNonNull(ownObservation.get());
  }

  /** Groups that may currently receive requests; thread-safe. */
  public List<ServingGroup> serving() {
    return view().servingAt(clock.nowMs());
  }

  /** Snapshot for the request path; thread-safe. */
  public ServingView view() {
    return Objects.requireNonNull(view.get());
  }

  /** Plans known to this daemon; thread-safe. */
  public List<Plan> knownPlans() {
    return plans.all();
  }

  /** Explains to operators why a group serves or does not; thread-safe. */
  public List<String> explain(GroupId id) {
    long nowMs = clock.nowMs();
    List<String> lines = new ArrayList<>();
    for (MergedGroup group : view().all()) {
      if (group.group().id().equals(id)) {
        lines.add(
            id
                + (group.servesAt(nowMs) ? " serves" : " does not serve: " + group.reason())
                + ", epoch "
                + group.group().epoch()
                + ", members "
                + group.group().members());
      }
    }
    if (lines.isEmpty()) {
      lines.add(id + " is not in any recent observation");
    }
    return lines;
  }

  private void onPollResult(ReportPoller.PollResult result) {
    monitor.onReport(result.host(), result.result(), result.requestedAtMs());
  }

  private Map<HostId, String> addressesToPoll(List<Target> targets) {
    Set<HostId> hosts = new HashSet<>();
    for (Target target : targets) {
      if (inputs.observes(target.group().entry())) {
        hosts.addAll(target.group().members());
      }
    }
    for (FabricDomain domain : topology.domains()) {
      if (inputs.mayPlan(domain)) {
        hosts.addAll(topology.controllableHosts(domain));
      }
    }
    Map<HostId, String> addresses = new HashMap<>();
    for (HostId host : hosts) {
      @Nullable String address = topology.address(host);
      if (address != null) {
        addresses.put(host, address);
      }
    }
    monitor.registry().retain(hosts);
    return addresses;
  }

  private List<ObservedGroup> observe(List<Target> targets) {
    List<Target> observed =
        targets.stream().filter(target -> inputs.observes(target.group().entry())).toList();
    return monitor.observe(observed, clock.nowMs());
  }

  /**
   * Publishes a new observation when the state of a group has changed, and at the publish interval.
   */
  private void publish(List<ObservedGroup> observed) {
    long nowMs = clock.nowMs();
    boolean isDue = nowMs - lastPublishMs >= settings.publishIntervalMs();
    if (isDue || !stateSummaries(observed).equals(stateSummaries(published))) {
      published = observed;
      lastPublishMs = nowMs;
      ownObservation.set(new Observation(self, observation().version() + 1, nowMs, observed));
    }
    merger.onObservation(observation(), nowMs);
  }

  private static List<String> stateSummaries(List<ObservedGroup> observed) {
    return observed.stream()
        .map(
            group ->
                group.group().id()
                    + " "
                    + group.group().epoch()
                    + group.verdict()
                    + group.group().incarnation()
                    + group.group().cold())
        .toList();
  }

  private void refreshView() {
    long nowMs = clock.nowMs();
    for (ReceivedObservation next = received.poll(); next != null; next = received.poll()) {
      merger.onObservation(next.observation(), next.receivedAtMs());
    }
    view.set(ServingView.of(topology.closeOutOfService(merger.merge(nowMs))));
  }

  private void startPlanning(AcceptedConfig config) {
    long nowMs = clock.nowMs();
    if (nowMs - lastPlanMs < settings.planIntervalMs() || !isPlanning.compareAndSet(false, true)) {
      return;
    }
    lastPlanMs = nowMs;
    boolean rereadsPlans =
        nowMs - lastPlanReadMs >= settings.planReadIntervalMs() || isPlanOutdated();
    lastPlanReadMs = rereadsPlans ? nowMs : lastPlanReadMs;
    ReportRegistry reports = monitor.registry().copy();
    PlannerRound.GroupStates states =
        new PlannerRound.GroupStates(
            ids(view().all(), group -> group.servesAt(nowMs)),
            ids(view().all(), MergedGroup::isSilent));
    List<PlannerRound.Domain> domains = plannedDomains();
    planExecutor.execute(
        () -> {
          try {
            if (rereadsPlans) {
              readPlans();
            }
            domains.forEach(domain -> plannerRound.run(domain, config, reports, states));
          } finally {
            isPlanning.set(false);
          }
        });
  }

  /** Whether an upstream reports a higher epoch than the known plan of its group. */
  private boolean isPlanOutdated() {
    for (Plan plan : plans.all()) {
      for (PlannedGroup group : plan.groups()) {
        for (HostId member : group.members()) {
          @Nullable MemberReport report = monitor.registry().status(member).report();
          if (report != null && report.epoch() > plan.epoch()) {
            return true;
          }
        }
      }
    }
    return false;
  }

  private List<PlannerRound.Domain> plannedDomains() {
    return topology.domains().stream()
        .filter(inputs::mayPlan)
        .map(domain -> PlannerRound.Domain.of(domain, topology))
        .toList();
  }

  private static Set<GroupId> ids(List<MergedGroup> groups, Predicate<MergedGroup> filter) {
    return groups.stream()
        .filter(filter)
        .map(group -> group.group().id())
        .collect(Collectors.toSet());
  }

  private void readPlans() {
    @Nullable List<StoredPlan> read = planStore.readAll();
    if (read != null) {
      read.forEach(plans::offer);
    }
  }

  /**
   * Observation of a peer with its time of arrival, which is needed to estimate its network delay.
   */
  private record ReceivedObservation(Observation observation, long receivedAtMs) {}
}
