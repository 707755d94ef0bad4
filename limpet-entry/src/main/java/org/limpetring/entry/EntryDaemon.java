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
import org.limpetring.base.Rendezvous;
import org.limpetring.entry.group.GroupKeeper;
import org.limpetring.entry.group.PlannerRole;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.EntrySettings;
import org.limpetring.entry.model.PlannedGroup;
import org.limpetring.entry.model.ServiceSpec;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.net.HttpConnectionPool;
import org.limpetring.entry.net.HttpListener;
import org.limpetring.entry.net.SimpleHttpClient;
import org.limpetring.entry.peer.PeerBook;
import org.limpetring.entry.peer.PeerLink;
import org.limpetring.entry.peer.PeerState;
import org.limpetring.entry.peer.TellSchedule;
import org.limpetring.entry.place.ShutdownRule;
import org.limpetring.entry.port.EngineControl;
import org.limpetring.entry.port.ObjectKind;
import org.limpetring.entry.port.PlatformStore;
import org.limpetring.entry.port.RequestFormat;
import org.limpetring.entry.port.StoredObject;
import org.limpetring.entry.port.StoredObjects;

/** The daemon: one event loop, its sockets, and the decisions called from it. */
public final class EntryDaemon {

  /** What an adapter brings to the daemon. */
  public interface Platform {

    /** The store, over the daemon's connections. */
    PlatformStore store(SimpleHttpClient calls, DecisionLog log, EntryMetrics metrics);

    /** Orders to engines, over the daemon's connections. */
    EngineControl engines(SimpleHttpClient calls);

    /** Headers of requests and answers. */
    RequestFormat format();
  }

  /** Step of the decisions that look at the time. */
  private static final long TICK_MS = 50;

  private static final long SWEEP_MS = 1_000;

  /** Gathers changes that come together, such as a group's members that become ready. */
  private static final long REARM_MS = 40;

  /** A third of the shortest time in which new work to a leaving upstream has to end. */
  private static final long UPSTREAM_REARM_MS = 650;

  /** Daemons besides the planner whose watches are never stale. */
  private static final int FRESH_WATCHERS = 1;

  /** Key by which those daemons are chosen. */
  private static final String WATCHERS = "watchers";

  /** Part of the grace time after which the daemon ends whatever is still in progress. */
  private static final double GRACE_PART = 0.97;

  private final EntrySettings settings;
  private final DecisionLog log;
  private final Clock clock = Clock.system();
  private final EventLoop loop;
  private final EntryMetrics metrics = new EntryMetrics();
  private final PlatformView view;
  private final PeerBook peers;
  private final PeerLink link;
  private final DaemonDirectory directory;
  private final PlatformStore store;
  private final EntryCore core;
  private final CallerEdge edge;
  private final PlannerRole role;
  private final GroupKeeper keeper;
  private final KindFeed<EntryConfig> configFeed;
  private final KindFeed<Upstream> upstreamFeed;
  private final KindFeed<String> domainFeed;
  private final MultiThreadIoEventLoopGroup loops;
  private long peerSequence = Clock.wall().nowMs();
  private final TellSchedule schedule = new TellSchedule();
  private long sweptMs = Long.MIN_VALUE / 2;
  private final Set<String> hurriedPlaces = new HashSet<>();
  private boolean wasReady;
  private boolean wasPlanner;

  /** Daemon that has yet to start. */
  public EntryDaemon(EntrySettings settings, Platform platform, DecisionLog log) {
    this.settings = settings;
    this.log = log;
    this.loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.loop = loops.next();
    HttpConnectionPool connections = new HttpConnectionPool(loop, clock);
    SimpleHttpClient calls = new SimpleHttpClient(connections);
    this.store = platform.store(calls, log, metrics);
    this.view = new PlatformView(clock, log);
    this.peers = new PeerBook(settings.daemonName());
    this.core =
        new EntryCore(
            settings, loop, clock, log, metrics, connections, platform.format(), view, peers);
    this.edge = new CallerEdge(core);
    this.role = new PlannerRole(settings.daemonName(), store, loop, clock, log, peers);
    this.keeper =
        new GroupKeeper(
            role,
            platform.engines(calls),
            new KeeperSurroundings(),
            clock,
            log,
            metrics,
            settings.bounds().stallMs());
    this.directory = new DaemonDirectory(settings, store, loop, peers);
    this.link = new PeerLink(loop, log, this::onPeer);
    this.configFeed = feed(ObjectKind.CONFIG, new ConfigListener(), () -> REARM_MS);
    this.upstreamFeed = feed(ObjectKind.UPSTREAMS, new UpstreamListener(), this::upstreamRearmMs);
    this.domainFeed = feed(ObjectKind.DOMAINS_OUT, new DomainListener(), () -> REARM_MS);
  }

  /** Entries of upstreams change often; only the planner has to act on each change at once. */
  private long upstreamRearmMs() {
    return role.isPlanner() ? REARM_MS : UPSTREAM_REARM_MS;
  }

  private <T> KindFeed<T> feed(
      ObjectKind<T> kind, KindFeed.Listener<T> listener, LongSupplier rearmMs) {
    return new KindFeed<>(kind, store, loop, clock, log, listener, rearmMs, this::watchFreshness);
  }

  /**
   * The planner and a few more hear of each change as soon as it is acknowledged, and tell the
   * others how far it goes; without a planner everybody listens by itself.
   */
  private PlatformStore.Consistency watchFreshness() {
    int known = peers.knownCount();
    boolean isPlannerHeard =
        peers.plannerAddress(TellSchedule.plannerSilenceMs(known), clock.nowMs()) != null;
    boolean isStaleEnough =
        !role.isPlanner()
            && isPlannerHeard
            && !Rendezvous.owners(WATCHERS, peers.knownNames(), FRESH_WATCHERS)
                .contains(settings.daemonName());
    return isStaleEnough ? PlatformStore.Consistency.STALE : PlatformStore.Consistency.LINEARIZABLE;
  }

  /** Opens the sockets and begins to work. */
  public void start() {
    loop.execute(this::startOnLoop);
  }

  private void startOnLoop() {
    StatusEdge status = new StatusEdge(core.format().readyPath(), this::isReady, metrics, log);
    listen(settings.readyAddress(), status);
    listen(settings.metricsAddress(), status);
    listen(settings.callerAddress(), edge);
    link.open(settings.peerAddress());
    configFeed.start();
    upstreamFeed.start();
    domainFeed.start();
    directory.register();
    directory.list();
    var unused =
        loop.scheduleWithFixedDelay(this::tickSafely, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
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
      InetSocketAddress address, org.limpetring.entry.net.CallerConnection.Handler handler) {
    ChannelFuture bound =
        HttpListener.listen(
            loop, address, () -> core.table().config().limits().maxHeaderBytes(), handler);
    bound.addListener(
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
        && upstreamFeed.isListed()
        && domainFeed.isListed()
        && !core.isStopping();
  }

  // beliefs

  private final class ConfigListener implements KindFeed.Listener<EntryConfig> {
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

  private final class UpstreamListener implements KindFeed.Listener<Upstream> {
    @Override
    public void onAll(StoredObjects<Upstream> all) {
      view.onAllUpstreams(all, upstreamFeed.troubledMs());
      core.onUpstreamsChanged();
    }

    @Override
    public void onChanges(StoredObjects<Upstream> changes) {
      for (StoredObject<Upstream> object : changes.objects()) {
        view.onUpstream(object, upstreamFeed.troubledMs());
      }
      core.onUpstreamsChanged();
      keeper.tick();
    }
  }

  private final class DomainListener implements KindFeed.Listener<String> {
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

  // other daemons

  private void onPeer(PeerState state, InetSocketAddress from) {
    long nowMs = clock.nowMs();
    peers.onHeard(state, from, nowMs);
    role.onPeer(state, nowMs);
    List<KindFeed<?>> feeds = feeds();
    for (int i = 0; i < Math.min(feeds.size(), state.revisions().size()); i++) {
      feeds.get(i).onHint(state.revisions().get(i));
    }
    if (state.isPlanner() && state.term() >= role.term()) {
      for (String opened : state.openedPlaces()) {
        hurryUpstreams(opened);
      }
      for (String ended : state.endedPlaces()) {
        core.onGroupEnding(ended, "planner " + state.name() + " ends it");
      }
    }
  }

  /** The planner has opened a group; looks at the list at once if it does not stand there yet. */
  private void hurryUpstreams(String placeKey) {
    if (!core.knowsPlace(placeKey) && hurriedPlaces.add(placeKey)) {
      upstreamFeed.hurry();
    }
  }

  /** Feeds in the order of the revisions that daemons tell each other. */
  private List<KindFeed<?>> feeds() {
    return List.of(configFeed, upstreamFeed, domainFeed);
  }

  private void tellPeers(long nowMs) {
    int known = peers.knownCount();
    InetSocketAddress planner = peers.plannerAddress(TellSchedule.plannerSilenceMs(known), nowMs);
    boolean isPlanner = role.isPlanner();
    if (isPlanner && !wasPlanner) {
      // it has to reach those that it has never heard
      directory.list();
    }
    wasPlanner = isPlanner;
    TellSchedule.Audience audience = schedule.next(isPlanner, planner != null, known, nowMs);
    if (audience == TellSchedule.Audience.NOBODY) {
      return;
    }
    link.send(ownState(core.isStopping()), addresses(audience, planner));
  }

  private List<InetSocketAddress> addresses(
      TellSchedule.Audience audience, @Nullable InetSocketAddress planner) {
    return switch (audience) {
      case NOBODY -> List.of();
      case PLANNER -> planner == null ? List.of() : List.of(planner);
      case SOME -> peers.nextAddresses(TellSchedule.FANOUT);
      case ALL -> peers.addresses();
    };
  }

  private PeerState ownState(boolean isStopping) {
    List<String> ended = new ArrayList<>();
    for (PlannedGroup group : keeper.ending()) {
      ended.add(PlaceIndex.placeKey(group.head(), group.name(), group.epoch()));
    }
    List<String> opened = new ArrayList<>();
    for (PlannedGroup group : keeper.opened()) {
      opened.add(PlaceIndex.placeKey(group.head(), group.name(), group.epoch()));
    }
    List<PeerState.Load> loads = core.loads();
    peers.onTold(loads);
    return new PeerState(
        settings.daemonName(),
        settings.failureDomain(),
        peerSequence++,
        role.term(),
        role.isPlanner(),
        role.isStuck(clock.nowMs()) || (role.isPlanner() && upstreamFeed.isLost()),
        isStopping,
        feeds().stream().map(KindFeed::newestRevision).toList(),
        loads,
        opened,
        ended,
        role.isPlanner() ? peers.fleetLoad(loads, clock.nowMs()) : null);
  }

  // time

  private void tickSafely() {
    try {
      tick();
    } catch (RuntimeException failure) {
      // a fault in one step must not end all later ones
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
    if (view.removeExpired()) {
      core.onUpstreamsChanged();
    }
    peers.setPlanner(role.isPlanner());
    core.tick();
    if (!core.isStopping() && upstreamFeed.isListed() && core.hasConfig()) {
      role.tick(nowMs);
      keeper.tick();
    }
    tellPeers(nowMs);
    if (nowMs - sweptMs >= SWEEP_MS) {
      sweptMs = nowMs;
      core.sweep();
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

  /** Begins a planned stop: unready at once, ends once the work in progress is done. */
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
    if (stoppingMs < ShutdownRule.BALANCER_REMOVAL_MS) {
      return;
    }
    edge.closeIdle();
    boolean isOver = stoppingMs > settings.bounds().graceMs() * GRACE_PART;
    if (!edge.isBusy() || isOver) {
      log.write(LogEvent.PROCESS_STOPPED, "afterMs", stoppingMs, "requests", core.flowCount());
      log.flush();
      loops
          .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
          .addListener(done -> Runtime.getRuntime().halt(0));
    }
  }

  /** The settings file changed; figures of the platform are taken over at the next start. */
  public void reload(EntrySettings changed) {
    loop.execute(() -> log.write(LogEvent.SETTINGS_RELOADED, "changed", !changed.equals(settings)));
  }

  private final class KeeperSurroundings implements GroupKeeper.Surroundings {

    @Override
    public Iterable<Upstream> upstreams() {
      List<Upstream> upstreams = new ArrayList<>();
      for (PlatformView.Listed listed : view.upstreams()) {
        upstreams.add(listed.upstream);
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
    public boolean isSuspected(PlannedGroup group) {
      return core.suspectedPlaces().contains(key(group));
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
      return PlaceIndex.placeKey(group.head(), group.name(), group.epoch());
    }
  }
}
