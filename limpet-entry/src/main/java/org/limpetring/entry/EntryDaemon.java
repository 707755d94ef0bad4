package org.limpetring.entry;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.balancing.ShutdownRule;
import org.limpetring.entry.balancing.TeamDemand;
import org.limpetring.entry.group.GroupManager;
import org.limpetring.entry.group.ModelDemand;
import org.limpetring.entry.group.PlannerRole;
import org.limpetring.entry.model.CallerLimits;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.EntrySettings;
import org.limpetring.entry.model.PlannedGroup;
import org.limpetring.entry.model.ServiceSpec;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.net.CallerConnections;
import org.limpetring.entry.net.HttpConnectionPool;
import org.limpetring.entry.net.HttpListener;
import org.limpetring.entry.net.SimpleHttpClient;
import org.limpetring.entry.peer.AnnouncementSchedule;
import org.limpetring.entry.peer.PeerLink;
import org.limpetring.entry.peer.PeerRegistry;
import org.limpetring.entry.peer.PeerState;
import org.limpetring.entry.port.EngineControl;
import org.limpetring.entry.port.ObjectKind;
import org.limpetring.entry.port.PlatformStore;
import org.limpetring.entry.port.RequestFormat;
import org.limpetring.entry.port.StorePosition;
import org.limpetring.entry.port.StoredObject;
import org.limpetring.entry.port.StoredObjects;

/** The entry daemon: sets up the event loop, the sockets and the periodic tasks. */
public final class EntryDaemon {

  /** The platform adapter. */
  public interface Platform {

    /** Creates the client of the platform's store on the daemon's connections. */
    PlatformStore store(SimpleHttpClient calls, DecisionLog log, EntryMetrics metrics);

    /** Creates the client of the engines' control interface on the daemon's connections. */
    EngineControl engines(SimpleHttpClient calls);

    /** The format of request and response headers. */
    RequestFormat format();
  }

  /** A page of the store holds about 1 MB. */
  private static final int MAX_STORE_RESPONSE_BYTES = 8_388_608;

  /** Reports and replies to orders are small; many engines are asked at the same time. */
  private static final int MAX_ENGINE_RESPONSE_BYTES = 65_536;

  /** Interval of time-driven decisions. */
  private static final long TICK_INTERVAL_MS = 50;

  private static final long SWEEP_INTERVAL_MS = 1_000;

  /** Batches changes that arrive together, such as a group's members becoming ready. */
  private static final long REWATCH_DELAY_MS = 40;

  /** Rewatch delay of the planner while its groups are stable; their faults are found by probes. */
  private static final long PLANNER_REWATCH_DELAY_MS = 150;

  /** A third of the shortest time within which a leaving upstream must get no new work. */
  private static final long UPSTREAM_REWATCH_DELAY_MS = 650;

  /** Longer than a takeover, after which a planner announces again; domains have 5 s to empty. */
  private static final long MAX_UNANNOUNCED_DOMAINS_MS = 2_000;

  /** Several announcements of a daemon arrive within this time. */
  private static final long HEARD_MS = 1_000;

  /** Greatest age of what a planner announces as the newest revisions. */
  static final long MAX_ANNOUNCED_AGE_MS = 350;

  private final EntrySettings settings;
  private final DecisionLog log;
  private final Clock clock = Clock.system();
  private final EventLoop loop;
  private final EntryMetrics metrics = new EntryMetrics();
  private final PlatformView view;
  private final PeerRegistry peers;
  private final PeerLink link;
  private final DaemonDirectory directory;
  private final EraCheckedStore store;
  private final StoreOutage storeOutage = new StoreOutage();
  private final EntryCore core;
  private final CallerHandler callerHandler;
  private final List<CallerConnections> callers;
  private final PlannerRole role;
  private final GroupManager groupManager;
  private final KindWatcher<EntryConfig> configWatcher;
  private final KindWatcher<Upstream> upstreamWatcher;
  private final KindWatcher<String> domainWatcher;
  private final MultiThreadIoEventLoopGroup eventLoops;
  private long peerSequence = Clock.wall().nowMs();
  private final AnnouncementSchedule gossipSchedule = new AnnouncementSchedule();
  private long lastSweepMs = Long.MIN_VALUE / 2;
  private final Set<String> expeditedEndpoints = new HashSet<>();
  private boolean wasReady;
  private boolean wasPlanner;

  /** Creates a daemon; {@link #start} opens its sockets. */
  public EntryDaemon(EntrySettings settings, Platform platform, DecisionLog log) {
    this.settings = settings;
    this.log = log;
    this.eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.loop = eventLoops.next();
    HttpConnectionPool connections = new HttpConnectionPool(loop, clock);
    this.store =
        new EraCheckedStore(
            platform.store(
                new SimpleHttpClient(connections, MAX_STORE_RESPONSE_BYTES), log, metrics),
            log,
            metrics);
    this.view = new PlatformView(clock, log);
    this.peers = new PeerRegistry(settings.daemonName());
    this.core =
        new EntryCore(
            settings, loop, clock, log, metrics, connections, platform.format(), view, peers);
    this.callerHandler = new CallerHandler(core);
    this.callers = callerConnections();
    this.role = new PlannerRole(settings.daemonName(), store, loop, clock, log, peers);
    this.groupManager =
        new GroupManager(
            role,
            platform.engines(new SimpleHttpClient(connections, MAX_ENGINE_RESPONSE_BYTES)),
            new GroupManagerContext(),
            clock,
            log,
            metrics,
            settings.bounds().stallMs());
    this.directory = new DaemonDirectory(settings, store, loop, peers);
    this.link = new PeerLink(loop, log, this::onPeer);
    this.configWatcher =
        watcher(
            ObjectKind.CONFIG, new ConfigListener(), () -> REWATCH_DELAY_MS, ViewAge.MAX_AGE_MS);
    this.upstreamWatcher =
        watcher(
            ObjectKind.UPSTREAMS,
            new UpstreamListener(),
            this::upstreamRewatchDelayMs,
            ViewAge.MAX_AGE_MS);
    this.domainWatcher =
        watcher(
            ObjectKind.DOMAINS_OUT,
            new DomainListener(),
            () -> REWATCH_DELAY_MS,
            MAX_UNANNOUNCED_DOMAINS_MS);
    store.onNewEra(this::onNewEra);
  }

  /** The store has come back from an older copy, which lacks what was written since. */
  private void onNewEra(long era) {
    role.onNewEra(era);
    watchers().forEach(KindWatcher::onNewEra);
    directory.onNewEra();
  }

  /** Connections at the callers', the readiness and the metrics address, in this order. */
  private List<CallerConnections> callerConnections() {
    CallerLimits limits = settings.callerLimits();
    CallerConnections.Shared shared =
        new CallerConnections.Shared(
            core.callerMemory(),
            limits,
            () -> core.table().config().limits(),
            clock,
            new CallerFaultLog(log, metrics, clock));
    return List.of(
        new CallerConnections(shared, limits.maxConnections()),
        new CallerConnections(shared, limits.maxStatusConnections()),
        new CallerConnections(shared, limits.maxStatusConnections()));
  }

  /** Upstream entries change often; only a planner that forms groups has to act at once. */
  private long upstreamRewatchDelayMs() {
    if (!role.isPlanner()) {
      return UPSTREAM_REWATCH_DELAY_MS;
    }
    return groupManager.isAnyGroupChanging() ? REWATCH_DELAY_MS : PLANNER_REWATCH_DELAY_MS;
  }

  private <T> KindWatcher<T> watcher(
      ObjectKind<T> kind,
      KindWatcher.Listener<T> listener,
      LongSupplier rewatchDelayMs,
      long maxUnannouncedMs) {
    return new KindWatcher<>(
        kind,
        store,
        loop,
        clock,
        log,
        listener,
        rewatchDelayMs,
        this::watchFreshness,
        maxUnannouncedMs,
        storeOutage);
  }

  private PlatformStore.Consistency watchFreshness() {
    String planner =
        role.isPlanner()
            ? settings.daemonName()
            : peers.plannerName(plannerSilenceMs(), clock.nowMs());
    return WatchConsistency.of(settings.daemonName(), planner, peers.knownNames());
  }

  private boolean isPlannerReachable(long nowMs) {
    return peers.plannerAddress(plannerSilenceMs(), nowMs) != null;
  }

  private long plannerSilenceMs() {
    return AnnouncementSchedule.plannerSilenceMs(peers.knownCount());
  }

  /** Opens the sockets, starts the watches and registers the daemon. */
  public void start() {
    loop.execute(this::startOnLoop);
  }

  private void startOnLoop() {
    StatusHandler statusHandler =
        new StatusHandler(core.format().readyPath(), this::isReady, metrics, log);
    listen(settings.callerAddress(), callers.get(0), callerHandler);
    listen(settings.readyAddress(), callers.get(1), statusHandler);
    listen(settings.metricsAddress(), callers.get(2), statusHandler);
    link.open(settings.peerAddress());
    configWatcher.start();
    upstreamWatcher.start();
    domainWatcher.start();
    directory.register();
    directory.list();
    var unused =
        loop.scheduleWithFixedDelay(
            this::tickSafely, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    log.write(
        LogEvent.PROCESS_STARTED,
        "daemon",
        settings.daemonName(),
        "failureDomain",
        settings.failureDomain(),
        "callers",
        settings.callerAddress());
  }

  private void listen(
      InetSocketAddress address,
      CallerConnections connections,
      org.limpetring.entry.net.CallerConnection.Handler handler) {
    ChannelFuture binding = HttpListener.listen(loop, address, connections, handler);
    binding.addListener(
        done -> {
          if (!done.isSuccess()) {
            log.write(
                LogEvent.UNEXPECTED_FAILURE,
                "in",
                "listening at " + address,
                "reason",
                String.valueOf(done.cause()));
          }
        });
  }

  private boolean isReady() {
    return core.hasConfig()
        && upstreamWatcher.isListed()
        && domainWatcher.isListed()
        && !core.isStopping();
  }

  // store changes

  private final class ConfigListener implements KindWatcher.Listener<EntryConfig> {
    @Override
    public void onAll(StoredObjects<EntryConfig> all) {
      onChanges(all);
    }

    @Override
    public void onChanges(StoredObjects<EntryConfig> changes) {
      for (StoredObject<EntryConfig> object : changes.objects()) {
        EntryConfig config = object.value();
        if (config != null && view.onConfig(config, object.revision())) {
          core.onConfig(config);
        }
      }
    }
  }

  private final class UpstreamListener implements KindWatcher.Listener<Upstream> {
    @Override
    public void onAll(StoredObjects<Upstream> all) {
      view.onAllUpstreams(all, upstreamWatcher.lastFailureMs());
      core.onUpstreamsChanged();
    }

    @Override
    public void onChanges(StoredObjects<Upstream> changes) {
      view.onUpstreams(changes, upstreamWatcher.lastFailureMs());
      core.onUpstreamsChanged();
      groupManager.tick();
    }
  }

  private final class DomainListener implements KindWatcher.Listener<String> {
    @Override
    public void onAll(StoredObjects<String> all) {
      view.onAllDomainsOut(all);
      core.onUpstreamsChanged();
    }

    @Override
    public void onChanges(StoredObjects<String> changes) {
      for (StoredObject<String> object : changes.objects()) {
        view.onDomainOut(object);
      }
      core.onUpstreamsChanged();
    }
  }

  // peers

  private void onPeer(PeerState state, InetSocketAddress from) {
    long nowMs = clock.nowMs();
    peers.onReceived(state, from, nowMs);
    role.onPeerState(state, nowMs);
    core.quarantine().merge(state.crashEvidence(), role.isPlanner());
    core.onLimitStatements(state.limitStatements(), role.isPlanner());
    core.onPaceStatements(state.paceStatements(), role.isPlanner());
    boolean isNewest =
        state.name().equals(peers.plannerName(plannerSilenceMs(), nowMs))
            && !state.isStoreUnreachable();
    List<KindWatcher<?>> watchers = watchers();
    for (int i = 0; i < Math.min(watchers.size(), state.positions().size()); i++) {
      watchers.get(i).onPeerPosition(state.positions().get(i), isNewest);
    }
    if (state.isPlanner() && state.term() >= role.term()) {
      for (String opened : state.openedEndpoints()) {
        expediteUpstreams(opened);
      }
      state.drainingEndpoints().forEach(core::onGroupDraining);
      for (String ended : state.endedEndpoints()) {
        core.onGroupEnding(ended, "planner " + state.name() + " ends it");
      }
    }
  }

  /**
   * The planner has opened a group; if it is not listed here yet, watches without further delay.
   */
  private void expediteUpstreams(String endpointKey) {
    if (!core.hasEndpoint(endpointKey) && expeditedEndpoints.add(endpointKey)) {
      upstreamWatcher.watchNow();
    }
  }

  /** Watchers in the order of the positions in {@link PeerState}. */
  private List<KindWatcher<?>> watchers() {
    return List.of(configWatcher, upstreamWatcher, domainWatcher);
  }

  private void sendStateToPeers(long nowMs) {
    int knownDaemons = peers.knownCount();
    InetSocketAddress planner =
        peers.plannerAddress(AnnouncementSchedule.plannerSilenceMs(knownDaemons), nowMs);
    boolean isPlanner = role.isPlanner();
    if (isPlanner && !wasPlanner) {
      // the planner also has to reach daemons that never sent it anything
      directory.list();
      watchers().forEach(KindWatcher::renewStaleWatch);
    }
    wasPlanner = isPlanner;
    boolean hasLimitNews = core.limitedUpstreams().takeNews();
    boolean hasPaceNews = core.upstreamPaces().takeNews();
    if (core.quarantine().takeNews() || hasLimitNews || hasPaceNews) {
      gossipSchedule.expedite();
    }
    AnnouncementSchedule.Recipients recipients =
        gossipSchedule.next(isPlanner, planner != null, knownDaemons, nowMs);
    if (recipients == AnnouncementSchedule.Recipients.NONE) {
      return;
    }
    link.send(ownState(core.isStopping()), addresses(recipients, planner));
  }

  private List<InetSocketAddress> addresses(
      AnnouncementSchedule.Recipients recipients, @Nullable InetSocketAddress planner) {
    return switch (recipients) {
      case NONE -> List.of();
      case PLANNER -> planner == null ? List.of() : List.of(planner);
      case SUBSET -> peers.nextAddresses(AnnouncementSchedule.FANOUT);
      case ALL -> peers.addresses();
    };
  }

  private PeerState ownState(boolean isStopping) {
    List<String> ended = new ArrayList<>();
    for (PlannedGroup group : groupManager.endingGroups()) {
      ended.add(EndpointIndex.endpointKey(group.head(), group.name(), group.epoch()));
    }
    List<String> opened = new ArrayList<>();
    for (PlannedGroup group : groupManager.recentlyOpenedGroups()) {
      opened.add(EndpointIndex.endpointKey(group.head(), group.name(), group.epoch()));
    }
    boolean isRelay = role.isPlanner() || !isPlannerReachable(clock.nowMs());
    List<PeerState.Load> loads = core.loads();
    peers.onAnnounced(loads);
    List<TeamDemand> teamDemands = core.teamLoad().announced();
    return new PeerState(
        settings.daemonName(),
        settings.failureDomain(),
        peerSequence++,
        role.term(),
        role.isPlanner(),
        role.isStoreUnreachable(clock.nowMs()) || (role.isPlanner() && upstreamWatcher.isFailing()),
        isStopping,
        announcedPositions(),
        loads,
        opened,
        ended,
        core.fleetDemand().rates(),
        core.quarantine().evidence(isRelay),
        core.limitedUpstreams().announced(isRelay),
        teamDemands,
        core.upstreamPaces().announced(isRelay),
        role.isPlanner()
            ? peers
                .fleetLoad(
                    loads,
                    core.fleetDemand().rates(),
                    core.fleetDemand().unmetRates(),
                    clock.nowMs())
                .withTeamDemands(core.teamLoad().fleet())
            : null,
        core.fleetDemand().unmetRates(),
        groupManager.drainingGroups().stream().map(EntryDaemon::endpointKey).toList());
  }

  /** Newest known positions; none while a planner's are older than the others take them to be. */
  private List<StorePosition> announcedPositions() {
    boolean isOutdated =
        role.isPlanner()
            && watchers().stream().anyMatch(watcher -> watcher.ageMs() > MAX_ANNOUNCED_AGE_MS);
    return isOutdated ? List.of() : watchers().stream().map(KindWatcher::newestPosition).toList();
  }

  // periodic work

  private void tickSafely() {
    try {
      tick();
    } catch (RuntimeException failure) {
      // an exception would cancel the periodic task
      log.write(
          LogEvent.UNEXPECTED_FAILURE,
          "in",
          "tick",
          "reason",
          failure
              + " at "
              + (failure.getStackTrace().length > 0 ? failure.getStackTrace()[0] : ""));
    }
  }

  private void tick() {
    long nowMs = clock.nowMs();
    if (core.dispatcher().onTickStarted()) {
      refreshAfterStall();
    }
    if (view.removeExpired()) {
      core.onUpstreamsChanged();
    }
    peers.setPlanner(role.isPlanner());
    watchers().forEach(KindWatcher::refreshIfOutdated);
    core.tick();
    if (!core.isStopping() && upstreamWatcher.isListed() && core.hasConfig()) {
      role.tick(nowMs);
      groupManager.tick();
    }
    sendStateToPeers(nowMs);
    if (nowMs - lastSweepMs >= SWEEP_INTERVAL_MS) {
      lastSweepMs = nowMs;
      core.sweep();
      callers.forEach(CallerConnections::sweep);
      metrics.callerMemory(core.callerMemory().usedBytes());
    }
    boolean isReady = isReady();
    if (isReady != wasReady) {
      wasReady = isReady;
      log.write(LogEvent.READINESS_CHANGED, "ready", isReady);
    }
    if (core.isStopping()) {
      tickStopping(core.stoppingMs());
    }
  }

  /** Reads again what upstreams and domains have become while this daemon stood still. */
  private void refreshAfterStall() {
    Set<KindWatcher<?>> awaited = new HashSet<>();
    for (KindWatcher<?> watcher : watchers()) {
      boolean isRefreshing =
          watcher.refreshNow(
              () -> {
                awaited.remove(watcher);
                if (awaited.isEmpty()) {
                  core.dispatcher().onViewRefreshed();
                }
              });
      if (isRefreshing) {
        awaited.add(watcher);
      }
    }
  }

  /** Starts a graceful stop: not ready at once, exits when the requests in progress are done. */
  public void stop() {
    loop.execute(
        () -> {
          if (core.isStopping()) {
            return;
          }
          core.stop();
          link.send(ownState(true), peers.addresses());
          log.write(LogEvent.PROCESS_STOPPING, "reason", "signal", "requests", core.flowCount());
        });
  }

  private void tickStopping(long stoppingMs) {
    long graceMs = settings.bounds().graceMs();
    boolean isGraceSpent = ShutdownRule.isGraceSpent(stoppingMs, graceMs);
    if (stoppingMs < ShutdownRule.BALANCER_REMOVAL_MS && !isGraceSpent) {
      return;
    }
    if (isGraceSpent) {
      core.endFlows();
    }
    callerHandler.closeIdle();
    if (!callerHandler.isBusy() || ShutdownRule.mustExit(stoppingMs, graceMs)) {
      log.write(LogEvent.PROCESS_STOPPED, "afterMs", stoppingMs, "requests", core.flowCount());
      log.flush();
      eventLoops
          .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
          .addListener(done -> Runtime.getRuntime().halt(0));
    }
  }

  /** Logs whether the settings file changed; changes take effect at the next start. */
  public void reload(EntrySettings changed) {
    loop.execute(() -> log.write(LogEvent.SETTINGS_RELOADED, "changed", !changed.equals(settings)));
  }

  private static String endpointKey(PlannedGroup group) {
    return EndpointIndex.endpointKey(group.head(), group.name(), group.epoch());
  }

  private final class GroupManagerContext implements GroupManager.Context {

    @Override
    public Iterable<Upstream> upstreams() {
      List<Upstream> upstreams = new ArrayList<>();
      for (PlatformView.UpstreamEntry entry : view.upstreams()) {
        upstreams.add(entry.upstream);
      }
      return upstreams;
    }

    @Override
    public @Nullable Upstream upstream(String id) {
      return view.upstream(id);
    }

    @Override
    public @Nullable Upstream departed(String id) {
      return view.departed(id);
    }

    @Override
    public Iterable<ServiceSpec> services() {
      EntryConfig config = view.config();
      return config == null ? List.of() : config.services().values();
    }

    @Override
    public boolean isTrafficSeen() {
      return core.isTrafficSeen() || !settings.isFirstStart();
    }

    @Override
    public Set<String> domainsOut() {
      return view.domainsOut();
    }

    @Override
    public double slotsNeeded(String model) {
      return core.fleetDemand().slotsNeeded(model);
    }

    @Override
    public ModelDemand demand(String model) {
      return core.fleetDemand().demand(model);
    }

    @Override
    public boolean isHearingFleet() {
      int heard = peers.recentPeerNames(HEARD_MS, clock.nowMs()).size() + 1;
      return 2 * heard >= peers.knownCount();
    }

    @Override
    public boolean isListCurrent(long sinceMs) {
      return clock.nowMs() - upstreamWatcher.ageMs() >= sinceMs;
    }

    @Override
    public void onGroupDraining(PlannedGroup group) {
      core.onGroupDraining(endpointKey(group));
    }

    @Override
    public boolean isSuspected(PlannedGroup group) {
      return core.isSuspected(key(group));
    }

    @Override
    public void clearSuspicion(PlannedGroup group) {
      core.clearSuspicion(key(group));
    }

    @Override
    public void onGroupEnding(PlannedGroup group, String reason) {
      core.onGroupEnding(key(group), reason);
    }

    private String key(PlannedGroup group) {
      return EndpointIndex.endpointKey(group.head(), group.name(), group.epoch());
    }
  }
}
