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
import org.limpetring.base.ResultCode;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.EntrySettings;
import org.limpetring.entry.model.Limits;
import org.limpetring.entry.model.ServiceSpec;
import org.limpetring.entry.net.HttpConnectionPool;
import org.limpetring.entry.net.SendFailure;
import org.limpetring.entry.peer.PeerBook;
import org.limpetring.entry.peer.PeerState;
import org.limpetring.entry.place.Admission;
import org.limpetring.entry.place.ColdRateLimiter;
import org.limpetring.entry.place.Demand;
import org.limpetring.entry.place.Endpoint;
import org.limpetring.entry.place.RetryBudget;
import org.limpetring.entry.place.ShutdownRule;
import org.limpetring.entry.place.Verdict;
import org.limpetring.entry.place.WaitQueue;
import org.limpetring.entry.port.RequestFormat;
import org.limpetring.entry.route.RouteTable;

/** State of the request path and the decisions on it; lives on the event loop. */
final class EntryCore {

  /** Cost of another failure domain when places are compared, in ms: the way and the bytes. */
  private static final double OTHER_DOMAIN_MS = 12;

  /** A suspicion that nothing confirms ends after this time; the planner's probes take less. */
  private static final long SUSPICION_MS = 1_500;

  /** Pause where a try failed unsent: about the time in which another place frees up. */
  private static final long RETRY_AFTER_MS = 300;

  /** Cold shares of upstreams that got nothing for this long are forgotten. */
  private static final long COLD_MEMORY_MS = 10_000;

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
  private final PeerBook peers;
  private final RetryBudget budget;
  private final ColdRateLimiter coldShare;
  private final PlaceIndex index;
  private final SplittableRandom random = new SplittableRandom();
  private final Map<String, WaitQueue<RequestFlow>> queues = new HashMap<>();
  private final Set<RequestFlow> flows = new HashSet<>();
  private RouteTable table = NO_TABLE;
  private boolean isStopping;
  private long stopMs;
  private boolean isTrafficSeen;
  private boolean isDrainScheduled;

  EntryCore(
      EntrySettings settings,
      EventLoop loop,
      Clock clock,
      DecisionLog log,
      EntryMetrics metrics,
      HttpConnectionPool connections,
      RequestFormat format,
      PlatformView view,
      PeerBook peers) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.connections = connections;
    this.format = format;
    this.view = view;
    this.peers = peers;
    this.index = new PlaceIndex(view);
    this.coldShare = new ColdRateLimiter(settings.daemonName());
    EntrySettings.Bounds bounds = settings.bounds();
    this.budget = new RetryBudget(bounds.retryRatio(), bounds.retryExtra(), bounds.retryWindowMs());
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

  RetryBudget budget() {
    return budget;
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
    stopMs = nowMs();
  }

  /** Time since the order to stop; 0 before it. */
  long stoppingMs() {
    return isStopping ? nowMs() - stopMs : 0;
  }

  /** Whether a request that takes at most {@code longestMs} still fits before the process ends. */
  boolean isTaken(long longestMs) {
    return !isStopping
        || ShutdownRule.accepts(stoppingMs(), longestMs, settings.bounds().graceMs());
  }

  /** Requests in progress. */
  int flowCount() {
    return flows.size();
  }

  /** Daemons that share the bounds; those that fell silent lately may still send. */
  int daemons() {
    return peers.knownCount();
  }

  /** Pause that a refused caller is asked to keep. */
  long retryAfterMs() {
    return RETRY_AFTER_MS;
  }

  // beliefs

  void onConfig(EntryConfig config) {
    table = new RouteTable(config);
    index.invalidate();
    scheduleDrain();
  }

  void onUpstreamsChanged() {
    index.invalidate();
    scheduleDrain();
  }

  /** The planner, here or told by another daemon, takes a group apart. */
  void onGroupEnding(String placeKey, String reason) {
    if (index.end(placeKey)) {
      failOver(placeKey, reason);
    }
  }

  private void failOver(String placeKey, String reason) {
    for (RequestFlow flow : List.copyOf(flows)) {
      Endpoint place = flow.place();
      if (place != null && place.key().equals(placeKey)) {
        flow.onGroupLost(reason);
      }
    }
  }

  private void refreshIndex() {
    index.refresh(table.config());
  }

  // admission

  /** Whether a place takes requests, as far as this daemon knows. */
  boolean knowsPlace(String placeKey) {
    refreshIndex();
    return index.get(placeKey) != null;
  }

  /** Whether any request has come since the start. */
  boolean isTrafficSeen() {
    return isTrafficSeen;
  }

  /** Finds a place for a request, or lets it wait, or refuses it. */
  void admit(RequestFlow flow) {
    isTrafficSeen = true;
    flows.add(flow);
    refreshIndex();
    if (!flow.isStillAllowed()) {
      return;
    }
    String pool = PlaceIndex.poolKey(table.config(), flow.service(), flow.model());
    WaitQueue<RequestFlow> queue = queues.computeIfAbsent(pool, key -> new WaitQueue<>());
    // a stream that goes on after a loss does not stand behind new requests
    int ahead = flow.isStreamStarted() ? 0 : queue.ahead(flow.demand());
    decide(flow, pool, queue, ahead, false);
  }

  /** Decides on a request; returns whether it stays in the queue. */
  private boolean decide(
      RequestFlow flow, String pool, WaitQueue<RequestFlow> queue, int ahead, boolean isQueued) {
    long nowMs = nowMs();
    Demand demand = flow.demand();
    List<Endpoint> candidates = candidates(flow, pool, nowMs);
    int places = candidates.size();
    Verdict verdict = verdict(demand, candidates, ahead, nowMs);
    while (verdict instanceof Verdict.Send send) {
      if (takeCold(send.endpoint(), nowMs)) {
        if (isQueued) {
          queue.remove(flow);
        }
        flow.send(send.endpoint());
        return false;
      }
      candidates.remove(send.endpoint());
      verdict =
          candidates.isEmpty()
              ? coldVerdict(demand, nowMs)
              : verdict(demand, candidates, ahead, nowMs);
    }
    if (verdict instanceof Verdict.Refuse refuse && !flow.isStreamStarted()) {
      if (isQueued) {
        queue.remove(flow);
      }
      flow.refuse(
          places == 0 ? ResultCode.NO_GROUP_SERVING : ResultCode.LIMIT_REACHED,
          refuse.retryAfterMs(),
          refuse.reason());
      return false;
    }
    if (!isQueued) {
      queue.add(demand, flow);
      log.write(
          LogEvent.REQUEST_WAITING,
          "request",
          flow.id(),
          "pool",
          pool,
          "places",
          places,
          "ahead",
          ahead,
          "returned",
          demand.isCallerRetry());
    }
    return true;
  }

  private Verdict verdict(Demand demand, List<Endpoint> candidates, int ahead, long nowMs) {
    return Admission.decide(
        demand,
        new Admission.AdmissionContext(candidates, ahead, alive(nowMs), this::extraMs, random),
        nowMs);
  }

  /** All places with room are cold, and this daemon's share of them is spent. */
  private static Verdict coldVerdict(Demand demand, long nowMs) {
    return demand.isOnTimeAt(nowMs)
        ? new Verdict.Wait(demand.onTimeDeadlineMs())
        : new Verdict.Refuse(RETRY_AFTER_MS, "only cold upstreams");
  }

  private int alive(long nowMs) {
    return peers.aliveCount(nowMs);
  }

  private List<Endpoint> candidates(RequestFlow flow, String pool, long nowMs) {
    List<Endpoint> all = index.ofPool(pool);
    List<Endpoint> untried = new ArrayList<>(all.size());
    boolean allRest = true;
    for (Endpoint place : all) {
      allRest = allRest && place.isEjected(nowMs);
    }
    for (Endpoint place : all) {
      if (!flow.hasTried(place) && (allRest || !place.isEjected(nowMs))) {
        untried.add(place);
      }
    }
    return untried;
  }

  private double extraMs(Endpoint place) {
    return place.upstream().failureDomain().equals(settings.failureDomain()) ? 0 : OTHER_DOMAIN_MS;
  }

  /** Whether the place bears one more request; a cold one bears only a share. */
  private boolean takeCold(Endpoint place, long nowMs) {
    PlatformView.Listed listed = view.listed(place.upstream().id());
    if (listed == null || listed.coldLeftMs(nowMs) <= 0) {
      return true;
    }
    ServiceSpec service = table.config().service(place.upstream().service());
    if (service == null || service.coldRequestsPerSecond() <= 0) {
      return true;
    }
    return coldShare.tryAcquire(
        place.upstream().incarnation(), service.coldRequestsPerSecond(), peers.knownNames(), nowMs);
  }

  /** Gives places to waiting requests, in their order. */
  private void drain() {
    isDrainScheduled = false;
    refreshIndex();
    int waiting = 0;
    for (Map.Entry<String, WaitQueue<RequestFlow>> entry : queues.entrySet()) {
      WaitQueue<RequestFlow> queue = entry.getValue();
      int ahead = 0;
      for (WaitQueue.Waiting<RequestFlow> each : queue.inOrder()) {
        RequestFlow flow = each.request();
        if (flow.isOver()) {
          queue.remove(flow);
          continue;
        }
        if (!flow.isStillAllowed()) {
          queue.remove(flow);
          continue;
        }
        if (decide(flow, entry.getKey(), queue, ahead, true)) {
          ahead++;
        }
      }
      waiting += queue.size();
    }
    metrics.waiting(waiting);
  }

  private void scheduleDrain() {
    if (!isDrainScheduled) {
      isDrainScheduled = true;
      loop.execute(this::drain);
    }
  }

  // events of requests

  void onPlaceFreed() {
    if (!queues.isEmpty()) {
      scheduleDrain();
    }
  }

  void forget(RequestFlow flow) {
    for (WaitQueue<RequestFlow> queue : queues.values()) {
      queue.remove(flow);
    }
  }

  void onFlowOver(RequestFlow flow) {
    flows.remove(flow);
  }

  /** The address belongs to another upstream, or the head no longer serves the group. */
  void onWrongUpstream(Endpoint place, @Nullable String faultyUpstream) {
    suspect(place, "wrong upstream");
  }

  /** The head says that a member is at fault. */
  void onMemberFault(Endpoint place, String memberId) {
    if (!memberId.equals(place.upstream().id())) {
      suspect(place, "member " + memberId + " at fault");
    }
  }

  void onSendFailure(Endpoint place, SendFailure failure) {
    boolean isGone = failure == SendFailure.REFUSED || failure == SendFailure.CONNECT_TIMEOUT;
    if (place.model() != null && isGone) {
      suspect(place, "connection " + failure);
    }
  }

  private void suspect(Endpoint place, String reason) {
    long nowMs = nowMs();
    boolean isNews = !place.isSuspected(nowMs);
    place.suspectUntil(nowMs + SUSPICION_MS);
    if (!isNews) {
      return;
    }
    log.write(
        LogEvent.GROUP_SUSPECTED,
        "place",
        place.key(),
        "reason",
        reason,
        "inFlight",
        place.ownInFlight(),
        "passMs",
        (long) place.currentPassMs(nowMs));
  }

  // upkeep

  /** Looks for groups that stand still, takes over the peers' loads, retries what waits. */
  void tick() {
    long nowMs = nowMs();
    peers.sumUp(nowMs);
    for (Endpoint place : index.all()) {
      place.setPeerInFlight(peers.inFlight(place.key()));
      if (place.model() != null && place.silentMs(nowMs) > place.silenceLimitMs(nowMs)) {
        suspect(place, "silent for " + place.silentMs(nowMs) + " ms");
      }
    }
    boolean hasWaiting = false;
    for (WaitQueue<RequestFlow> queue : queues.values()) {
      hasWaiting = hasWaiting || queue.size() > 0;
    }
    if (hasWaiting || index.isStale()) {
      scheduleDrain();
    }
  }

  /** Frees what is no longer needed. */
  void sweep() {
    connections.closeExpired();
    coldShare.forgetBefore(nowMs() - COLD_MEMORY_MS);
    index.forgetEnded();
  }

  /** Loads of all places with requests of this daemon, or that stand still. */
  List<PeerState.Load> loads() {
    List<PeerState.Load> loads = new ArrayList<>();
    long nowMs = nowMs();
    for (Endpoint place : index.all()) {
      boolean isSuspected = place.isSuspected(nowMs);
      if (place.ownInFlight() > 0 || isSuspected) {
        loads.add(
            new PeerState.Load(PeerState.placeHash(place.key()), place.ownInFlight(), isSuspected));
      }
    }
    return loads;
  }

  /** Keys of places that stand still as this daemon or another sees it. */
  Set<String> suspectedPlaces() {
    Set<String> keys = new HashSet<>();
    long nowMs = nowMs();
    for (Endpoint place : index.all()) {
      if (place.model() != null && (place.isSuspected(nowMs) || peers.isSuspected(place.key()))) {
        keys.add(place.key());
      }
    }
    return keys;
  }

  /** A suspicion turned out wrong. */
  void clearSuspicion(String placeKey) {
    Endpoint place = index.get(placeKey);
    if (place != null && place.isSuspected(nowMs())) {
      place.suspectUntil(nowMs());
      scheduleDrain();
    }
  }
}
