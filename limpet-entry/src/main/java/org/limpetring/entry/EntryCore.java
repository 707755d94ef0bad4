package org.limpetring.entry;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.balancing.CallerPatience;
import org.limpetring.entry.balancing.Endpoint;
import org.limpetring.entry.balancing.FirstEventOffset;
import org.limpetring.entry.balancing.LimitStatement;
import org.limpetring.entry.balancing.PaceStatement;
import org.limpetring.entry.balancing.RefusedRequests;
import org.limpetring.entry.balancing.RetryBudget;
import org.limpetring.entry.balancing.ShutdownRule;
import org.limpetring.entry.balancing.UpstreamPauses;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.EntrySettings;
import org.limpetring.entry.model.Limits;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.Route;
import org.limpetring.entry.model.ServiceSpec;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.net.BufferBudget;
import org.limpetring.entry.net.HttpConnectionPool;
import org.limpetring.entry.net.SendFailure;
import org.limpetring.entry.peer.PeerRegistry;
import org.limpetring.entry.peer.PeerState;
import org.limpetring.entry.port.Pause;
import org.limpetring.entry.port.RateLimit;
import org.limpetring.entry.port.RequestFormat;
import org.limpetring.entry.route.RouteTable;

/**
 * State of the request path: configuration, upstreams, suspicion, and what requests share. Event
 * loop only.
 */
final class EntryCore {

  /** An unconfirmed suspicion expires after this time; the planner's probes take less. */
  private static final long SUSPICION_TIMEOUT_MS = 1_500;

  /** Retry-After value for rejected callers: about the time until an endpoint frees up. */
  private static final long RETRY_AFTER_MS = 300;

  /** Time after which the patience of a route's callers is discarded. */
  private static final long CALLER_PATIENCE_TTL_MS = 60_000;

  private static final RouteTable NO_TABLE =
      new RouteTable(new EntryConfig(0, List.of(), Map.of(), Map.of(), true, Limits.UNKNOWN));

  private final EntrySettings settings;
  private final EventLoop loop;
  private final Clock clock;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final HttpConnectionPool connections;
  private final RequestFormat format;
  private final PlatformView view;
  private final PeerRegistry peers;
  private final RetryBudget retryBudget;
  private final EndpointIndex index;
  private final SplittableRandom random = new SplittableRandom();
  private final BufferBudget callerMemory;
  private final Quarantine quarantine;
  private final TeamLoad teamLoad;
  private final FleetDemand fleetDemand;
  private final UpstreamPauses pauses = new UpstreamPauses();
  private final LimitedUpstreams limitedUpstreams;
  private final UpstreamPaces upstreamPaces;
  private final CallerPatience callerPatience = new CallerPatience();
  private final RefusedRequests refusedRequests = new RefusedRequests();
  private final Set<RequestFlow> flows = new HashSet<>();
  private final RequestDispatcher dispatcher;
  private final Map<String, FirstEventOffset> firstEventOffsets = new HashMap<>();
  private RouteTable table = NO_TABLE;
  private boolean isStopping;
  private long stopStartedMs;
  private boolean isTrafficSeen;

  EntryCore(
      EntrySettings settings,
      EventLoop loop,
      Clock clock,
      DecisionLog log,
      EntryMetrics metrics,
      HttpConnectionPool connections,
      RequestFormat format,
      PlatformView view,
      PeerRegistry peers) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.connections = connections;
    this.format = format;
    this.view = view;
    this.peers = peers;
    this.index = new EndpointIndex(view);
    this.callerMemory = new BufferBudget(settings.callerLimits().memoryBytes());
    this.quarantine = new Quarantine(clock, log, metrics);
    this.teamLoad = new TeamLoad(peers, clock, log, metrics);
    this.fleetDemand = new FleetDemand(peers, clock, random, metrics, teamLoad);
    this.limitedUpstreams = new LimitedUpstreams(settings.daemonName(), peers, clock, log, metrics);
    this.upstreamPaces = new UpstreamPaces(settings.daemonName(), peers, clock, log, metrics);
    this.dispatcher = new RequestDispatcher(this, index, peers, settings.failureDomain(), random);
    EntrySettings.Bounds bounds = settings.bounds();
    this.retryBudget =
        new RetryBudget(bounds.retryRatio(), bounds.retryExtra(), bounds.retryWindowMs());
  }

  long nowMs() {
    return clock.nowMs();
  }

  EventLoop loop() {
    return loop;
  }

  DecisionLog log() {
    return log;
  }

  EntryMetrics metrics() {
    return metrics;
  }

  HttpConnectionPool connections() {
    return connections;
  }

  RequestFormat format() {
    return format;
  }

  Quarantine quarantine() {
    return quarantine;
  }

  RequestDispatcher dispatcher() {
    return dispatcher;
  }

  LimitedUpstreams limitedUpstreams() {
    return limitedUpstreams;
  }

  UpstreamPaces upstreamPaces() {
    return upstreamPaces;
  }

  FleetDemand fleetDemand() {
    return fleetDemand;
  }

  TeamLoad teamLoad() {
    return teamLoad;
  }

  BufferBudget callerMemory() {
    return callerMemory;
  }

  RefusedRequests refusedRequests() {
    return refusedRequests;
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  RouteTable table() {
    return table;
  }

  boolean hasConfig() {
    return table != NO_TABLE;
  }

  boolean isStopping() {
    return isStopping;
  }

  void stop() {
    isStopping = true;
    stopStartedMs = nowMs();
  }

  /** Time since the stop began; 0 before it. */
  long stoppingMs() {
    return isStopping ? nowMs() - stopStartedMs : 0;
  }

  /** Whether a request of at most {@code maxDurationMs} is accepted though the daemon may stop. */
  boolean canComplete(Route route, long maxDurationMs) {
    return !isStopping
        || ShutdownRule.accepts(
            stoppingMs(), maxDurationMs, settings.bounds().graceMs(), route.isRetryable());
  }

  /** Gives each request in progress its final answer. */
  void endFlows() {
    for (RequestFlow flow : List.copyOf(flows)) {
      flow.endWithProcess();
    }
  }

  /** Number of requests in progress, waiting ones included. */
  int flowCount() {
    return flows.size();
  }

  /** Number of daemons that share the limits; a daemon that is silent may still be sending. */
  int daemonCount() {
    return peers.knownCount();
  }

  /** Retry delay sent to a rejected caller. */
  long retryAfterMs() {
    return RETRY_AFTER_MS;
  }

  // configuration and upstream changes

  void onConfig(EntryConfig config) {
    table = new RouteTable(config);
    teamLoad.onConfig(config);
    index.invalidate();
    dispatcher.scheduleDrain();
  }

  void onUpstreamsChanged() {
    index.invalidate();
    dispatcher.scheduleDrain();
  }

  /** The planner (this daemon or a peer) is disbanding a group; its requests fail over. */
  void onGroupEnding(String endpointKey, String reason) {
    Endpoint endpoint = index.get(endpointKey);
    if (endpoint != null) {
      quarantine.onUpstreamLost(endpoint.upstream().incarnation());
    }
    if (index.markEnded(endpointKey)) {
      failOver(endpointKey, reason);
    }
  }

  /** The planner dissolves a group for a planned reason; its requests in progress end there. */
  void onGroupDraining(String endpointKey) {
    index.markDraining(endpointKey);
  }

  private void failOver(String endpointKey, String reason) {
    for (RequestFlow flow : List.copyOf(flows)) {
      Endpoint endpoint = flow.endpoint();
      if (endpoint != null && endpoint.key().equals(endpointKey)) {
        flow.onGroupLost(reason);
      }
    }
  }

  /** Adds and removes endpoints after a change of upstreams or configuration. */
  void refreshIndex() {
    List<Endpoint> added = index.refresh(table.config());
    fleetDemand.shareNewSlots(added);
    upstreamPaces.onAdded(added, index.pools());
    for (Endpoint endpoint : added) {
      endpoint.pauseUntil(pauses.endMs(endpoint.upstream()));
      ModelSpec model = endpoint.model();
      if (model != null) {
        endpoint.shareOffset(
            firstEventOffsets.computeIfAbsent(model.name(), name -> new FirstEventOffset()));
      }
    }
  }

  /** An upstream said in an answer that it leaves: it gets no new requests. */
  void onLeaving(Upstream upstream) {
    if (view.onLeaving(upstream)) {
      log.write(
          LogEvent.UPSTREAM_LEAVING, "upstream", upstream.id(), "born", upstream.startedAtMs());
      onUpstreamsChanged();
    }
  }

  /** A rejection may ask for a pause of all requests to that incarnation of the upstream. */
  void onPause(Endpoint from, Pause pause) {
    if (pause instanceof Pause.None) {
      return;
    }
    if (pause instanceof Pause.Malformed malformed) {
      log.write(
          LogEvent.PAUSE_MALFORMED, "upstream", from.upstream().id(), "value", malformed.value());
      return;
    }
    long untilMs = nowMs() + ((Pause.For) pause).durationMs();
    pauses.set(from.upstream(), untilMs);
    for (Endpoint endpoint : index.all()) {
      if (endpoint.upstream().incarnation().equals(from.upstream().incarnation())) {
        endpoint.pauseUntil(untilMs);
      }
    }
    log.write(LogEvent.UPSTREAM_PAUSED, "upstream", from.upstream().id(), "untilMs", untilMs);
  }

  /** An upstream's answer to a request that was sent at {@code sentMs} may name a limit. */
  void onRateLimit(Endpoint from, RateLimit limit, long sentMs) {
    if (limitedUpstreams.onAnswer(from.upstream(), limit, sentMs)) {
      dispatcher.scheduleDrain();
    }
  }

  /** Applies what a peer announced of the limits that upstreams named. */
  void onLimitStatements(List<LimitStatement> statements, boolean isRelay) {
    if (limitedUpstreams.merge(statements, isRelay)) {
      dispatcher.scheduleDrain();
    }
  }

  /** Applies what a peer announced of upstreams that have just started or recovered. */
  void onPaceStatements(List<PaceStatement> statements, boolean isRelay) {
    if (upstreamPaces.merge(index.all(), statements, isRelay)) {
      dispatcher.scheduleDrain();
    }
  }

  /** The first event of a stream or a whole response arrived. */
  void onPacedResponse(Endpoint from, long sentMs, double predictedMs, long onTimeDeadlineMs) {
    boolean isCold = !Double.isInfinite(coldRate(from));
    if (upstreamPaces.onResponse(from, sentMs, predictedMs, onTimeDeadlineMs, isCold)) {
      dispatcher.scheduleDrain();
    }
  }

  // callers

  /** Whether the endpoint is in this daemon's index, and so accepts requests. */
  boolean hasEndpoint(String endpointKey) {
    refreshIndex();
    return index.get(endpointKey) != null;
  }

  /** Whether any request has arrived since the start. */
  boolean isTrafficSeen() {
    return isTrafficSeen;
  }

  /** Whether a request with that time left is a caller's retry of a refused one. */
  boolean isCallerRetry(Route route, long deadlineMs) {
    return callerPatience.isRetry(route.name(), deadlineMs, nowMs());
  }

  /** Counts a caller's request towards the retry budget and this daemon's share of the slots. */
  void onCallerRequest(String service, @Nullable String model) {
    retryBudget.onRequest(service, nowMs());
    if (model != null) {
      fleetDemand.onRequest(model);
    }
  }

  /** Remaining cold time of an endpoint's upstream; 0 if it is warm or no longer listed. */
  long coldLeftMs(Endpoint endpoint) {
    PlatformView.UpstreamEntry listed = view.listed(endpoint.upstream().id());
    return listed == null ? 0 : Math.max(0, listed.coldLeftMs(nowMs()));
  }

  /** Rate that an endpoint's upstream takes from all daemons while cold; infinite if it is warm. */
  double coldRate(Endpoint endpoint) {
    ServiceSpec service =
        coldLeftMs(endpoint) <= 0 ? null : table.config().service(endpoint.upstream().service());
    return service == null || service.coldRequestsPerSecond() <= 0
        ? Double.POSITIVE_INFINITY
        : service.coldRequestsPerSecond();
  }

  // request events

  /** A request is being admitted; it is in progress until {@link #onFlowEnded}. */
  void onFlowStarted(RequestFlow flow) {
    isTrafficSeen = true;
    upstreamPaces.onRequest();
    flows.add(flow);
  }

  void onFlowEnded(RequestFlow flow) {
    flows.remove(flow);
  }

  /** The address belongs to another upstream, or the upstream is no longer the group's head. */
  void onMisdirected(Endpoint endpoint, @Nullable String faultyUpstream) {
    suspect(endpoint, "wrong upstream");
  }

  /** The head reports a failed member. */
  void onMemberFault(Endpoint endpoint, String memberId) {
    if (!memberId.equals(endpoint.upstream().id())) {
      suspect(endpoint, "member " + memberId + " at fault");
    }
  }

  void onSendFailure(Endpoint endpoint, SendFailure failure) {
    if (failure == SendFailure.REFUSED) {
      quarantine.onUpstreamLost(endpoint.upstream().incarnation());
    }
    boolean isUnreachable =
        failure == SendFailure.REFUSED || failure == SendFailure.CONNECT_TIMEOUT;
    if (endpoint.model() != null && isUnreachable) {
      suspect(endpoint, "connection " + failure);
    }
  }

  private void suspect(Endpoint endpoint, String reason) {
    long nowMs = nowMs();
    boolean isNew = !endpoint.isSuspected(nowMs);
    endpoint.suspectUntil(nowMs + SUSPICION_TIMEOUT_MS);
    if (!isNew) {
      return;
    }
    log.write(
        LogEvent.GROUP_SUSPECTED,
        "place",
        endpoint.key(),
        "reason",
        reason,
        "inFlight",
        endpoint.ownInFlight(),
        "passMs",
        (long) endpoint.currentPassMs(nowMs));
  }

  // periodic work

  /** Detects stalled groups, applies the peers' loads and drains the queues. */
  void tick() {
    long nowMs = nowMs();
    dispatcher.releaseHeld();
    peers.aggregateLoads(nowMs);
    for (Endpoint endpoint : index.all()) {
      endpoint.setPeerInFlight(peers.inFlight(endpoint.key()));
    }
    teamLoad.tick();
    fleetDemand.shareSlots(index.pools());
    for (Endpoint endpoint : index.all()) {
      if (endpoint.model() != null && endpoint.silentMs(nowMs) > endpoint.silenceLimitMs(nowMs)) {
        suspect(endpoint, "silent for " + endpoint.silentMs(nowMs) + " ms");
      }
    }
    upstreamPaces.tick(index.all());
    if (dispatcher.hasWaiting() || index.isStale()) {
      dispatcher.scheduleDrain();
    }
  }

  /** Closes expired connections and discards outdated state. */
  void sweep() {
    connections.closeExpired();
    limitedUpstreams.sweep(listedIncarnations());
    callerPatience.forgetBefore(nowMs() - CALLER_PATIENCE_TTL_MS);
    refusedRequests.sweep(nowMs());
    index.forgetEnded();
    upstreamPaces.sweep(key -> index.get(key) != null);
    quarantine.sweep();
    pauses.forgetBefore(nowMs());
  }

  private Set<String> listedIncarnations() {
    Set<String> incarnations = new HashSet<>();
    for (PlatformView.UpstreamEntry entry : view.upstreams()) {
      incarnations.add(entry.upstream.incarnation());
    }
    return incarnations;
  }

  /** Loads to announce: of all endpoints that have requests of this daemon or are suspected. */
  List<PeerState.Load> loads() {
    List<PeerState.Load> loads = new ArrayList<>();
    long nowMs = nowMs();
    dispatcher.markShortPools();
    for (Endpoint endpoint : index.all()) {
      boolean isSuspected = endpoint.isSuspected(nowMs);
      int taken = endpoint.announceSlots();
      if (taken > 0 || isSuspected) {
        loads.add(new PeerState.Load(PeerState.endpointHash(endpoint.key()), taken, isSuspected));
      }
    }
    return loads;
  }

  /** Whether this daemon or at least half of the others with requests there suspect a head. */
  boolean isSuspected(String endpointKey) {
    Endpoint endpoint = index.get(endpointKey);
    return endpoint != null
        && endpoint.model() != null
        && (endpoint.isSuspected(nowMs()) || peers.isSuspected(endpointKey));
  }

  /** Clears a suspicion that proved wrong. */
  void clearSuspicion(String endpointKey) {
    Endpoint endpoint = index.get(endpointKey);
    if (endpoint != null && endpoint.isSuspected(nowMs())) {
      endpoint.suspectUntil(nowMs());
      dispatcher.scheduleDrain();
    }
  }
}
