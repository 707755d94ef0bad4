package org.limpetring.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.limpetring.base.LogEvent;
import org.limpetring.base.ResultCode;
import org.limpetring.entry.balancing.Admission;
import org.limpetring.entry.balancing.Demand;
import org.limpetring.entry.balancing.Endpoint;
import org.limpetring.entry.balancing.SlotShares;
import org.limpetring.entry.balancing.Verdict;
import org.limpetring.entry.balancing.WaitQueue;
import org.limpetring.entry.peer.PeerRegistry;

/**
 * Dispatches requests to endpoints: gathers the input of {@link Admission}, carries out its
 * verdicts, and holds the requests that wait. Event loop only.
 */
final class RequestDispatcher {

  /** Penalty for an endpoint in another failure domain: network delay and transfer time. */
  private static final double CROSS_DOMAIN_COST_MS = 12;

  private final EntryCore core;
  private final EndpointIndex index;
  private final PeerRegistry peers;
  private final String failureDomain;
  private final RandomGenerator random;
  private final Map<String, WaitQueue<RequestFlow>> queues = new HashMap<>();
  private final StallGuard stallGuard = new StallGuard();

  /** Requests that wait until the view has been read again after a stall. */
  private final List<RequestFlow> held = new ArrayList<>();

  private boolean isDrainScheduled;

  RequestDispatcher(
      EntryCore core,
      EndpointIndex index,
      PeerRegistry peers,
      String failureDomain,
      RandomGenerator random) {
    this.core = core;
    this.index = index;
    this.peers = peers;
    this.failureDomain = failureDomain;
    this.random = random;
  }

  /** Whether any request waits for an endpoint. */
  boolean hasWaiting() {
    for (WaitQueue<RequestFlow> queue : queues.values()) {
      if (queue.size() > 0) {
        return true;
      }
    }
    return false;
  }

  /** Admits a request that has just arrived. */
  void admitNew(RequestFlow flow) {
    if (!flow.demand().isCallerRetry()) {
      queue(pool(flow)).returns().onArrival(core.nowMs());
    }
    admit(flow);
  }

  private String pool(RequestFlow flow) {
    return EndpointIndex.poolKey(core.table().config(), flow.service(), flow.model());
  }

  private WaitQueue<RequestFlow> queue(String pool) {
    return queues.computeIfAbsent(pool, key -> new WaitQueue<>());
  }

  /** Tells the endpoints whether their pools are short of slots. */
  void markShortPools() {
    long nowMs = core.nowMs();
    queues.forEach(
        (pool, queue) -> {
          List<Endpoint> endpoints = index.inPool(pool);
          boolean isShort = queue.isShort(nowMs) && SlotShares.isFull(endpoints);
          endpoints.forEach(endpoint -> endpoint.setPoolShort(isShort));
        });
  }

  /** Sends a request to an endpoint, queues it, or rejects it. */
  void admit(RequestFlow flow) {
    core.onFlowStarted(flow);
    if (stallGuard.isHolding(core.nowMs())) {
      held.add(flow);
      return;
    }
    core.refreshIndex();
    if (!flow.revalidate()) {
      return;
    }
    flow.countForTeam();
    String pool = pool(flow);
    WaitQueue<RequestFlow> queue = queue(pool);
    // a stream that resumes after a loss is not queued behind new requests
    int ahead = flow.isStreamStarted() ? 0 : queue.ahead(flow.demand(), flow.isBeyondShare());
    decide(flow, pool, queue, ahead, false);
  }

  /** Decides on a request; returns whether it is in the queue afterwards. */
  private boolean decide(
      RequestFlow flow,
      String pool,
      WaitQueue<RequestFlow> queue,
      int queuedAhead,
      boolean isQueued) {
    int ahead = queuedAhead;
    long nowMs = core.nowMs();
    Demand demand = flow.isStreamStarted() ? flow.demand().resumed() : flow.demand();
    List<Endpoint> candidates = candidates(flow, pool, nowMs);
    int endpoints = candidates.size();
    if (flow.isBeyondShare() && !flow.isStreamStarted()) {
      ahead += core.teamLoad().hasRoomBeyond(candidates) ? 0 : 1;
    }
    Verdict verdict = verdict(demand, candidates, queue, ahead, nowMs);
    while (verdict instanceof Verdict.Send send) {
      if (core.limitedUpstreams()
          .tryAcquire(send.endpoint().upstream(), core.coldRate(send.endpoint()))) {
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
              : verdict(demand, candidates, queue, ahead, nowMs);
    }
    if (verdict instanceof Verdict.Refuse reject && !flow.isStreamStarted()) {
      if (isQueued) {
        queue.remove(flow);
      }
      queue.onRefused(demand, nowMs);
      core.fleetDemand()
          .onRefused(core.table().config().service(flow.service()), flow.model(), demand);
      long retryAfterMs = retryAfterMs(demand, candidates, queue, reject.retryAfterMs(), nowMs);
      if (endpoints > 0) {
        // a pool without endpoints may serve again at any moment, before the delay ends
        flow.rememberRefusal(retryAfterMs);
      }
      flow.reject(
          endpoints == 0 ? ResultCode.NO_GROUP_SERVING : ResultCode.LIMIT_REACHED,
          retryAfterMs,
          reject.reason());
      return false;
    }
    if (!isQueued) {
      queue.add(demand, flow.isBeyondShare(), flow);
      core.log()
          .write(
              LogEvent.REQUEST_WAITING,
              "request",
              flow.id(),
              "pool",
              pool,
              "places",
              endpoints,
              "ahead",
              ahead,
              "returned",
              demand.isCallerRetry(),
              "beyondShare",
              flow.isBeyondShare());
    }
    return true;
  }

  /** Books the caller's return where the endpoints' slots say when capacity is available. */
  private long retryAfterMs(
      Demand demand,
      List<Endpoint> endpoints,
      WaitQueue<RequestFlow> queue,
      long waitMs,
      long nowMs) {
    double capacityPerMs = capacityPerMs(endpoints, nowMs);
    return capacityPerMs <= 0
        ? waitMs
        : queue.returns().bookMs(demand, waitMs, capacityPerMs, nowMs, random);
  }

  private double capacityPerMs(List<Endpoint> endpoints, long nowMs) {
    return endpoints.isEmpty()
        ? 0
        : Admission.capacityPerMs(
            endpoints, core.fleetDemand().share(endpoints.get(0).model()), nowMs);
  }

  private Verdict verdict(
      Demand demand,
      List<Endpoint> candidates,
      WaitQueue<RequestFlow> queue,
      int ahead,
      long nowMs) {
    return Admission.decide(
        demand,
        new Admission.AdmissionContext(
            candidates,
            ahead,
            queue.isOverloaded(capacityPerMs(candidates, nowMs), nowMs),
            aliveDaemons(nowMs),
            candidates.isEmpty() ? 1 : core.fleetDemand().share(candidates.get(0).model()),
            this::crossDomainCostMs,
            random),
        nowMs);
  }

  /** All endpoints with room are cold, and this daemon's share of them is used up. */
  private Verdict coldVerdict(Demand demand, long nowMs) {
    return demand.isOnTimeAt(nowMs)
        ? new Verdict.Wait(demand.onTimeDeadlineMs())
        : new Verdict.Refuse(core.retryAfterMs(), "only cold upstreams");
  }

  private int aliveDaemons(long nowMs) {
    return peers.aliveCount(nowMs);
  }

  private List<Endpoint> candidates(RequestFlow flow, String pool, long nowMs) {
    List<Endpoint> all = index.inPool(pool);
    List<Endpoint> untried = new ArrayList<>(all.size());
    boolean areAllEjected = true;
    for (Endpoint endpoint : all) {
      areAllEjected = areAllEjected && endpoint.isEjected(nowMs);
    }
    for (Endpoint endpoint : all) {
      if (!flow.hasTried(endpoint) && (areAllEjected || !endpoint.isEjected(nowMs))) {
        untried.add(endpoint);
      }
    }
    core.limitedUpstreams().applyTo(untried, core::coldRate);
    core.upstreamPaces().applyTo(untried, each -> !Double.isInfinite(core.coldRate(each)));
    return untried;
  }

  private double crossDomainCostMs(Endpoint endpoint) {
    return endpoint.upstream().failureDomain().equals(failureDomain) ? 0 : CROSS_DOMAIN_COST_MS;
  }

  /** Assigns endpoints to queued requests, in queue order. */
  private void drain() {
    isDrainScheduled = false;
    if (stallGuard.isHolding(core.nowMs())) {
      return;
    }
    core.refreshIndex();
    int waiting = 0;
    for (Map.Entry<String, WaitQueue<RequestFlow>> entry : queues.entrySet()) {
      WaitQueue<RequestFlow> queue = entry.getValue();
      int ahead = 0;
      for (WaitQueue.Waiting<RequestFlow> each : queue.inOrder()) {
        RequestFlow flow = each.request();
        if (flow.isEnded()) {
          queue.remove(flow);
          continue;
        }
        if (!flow.revalidate()) {
          queue.remove(flow);
          continue;
        }
        if (decide(flow, entry.getKey(), queue, ahead, true)) {
          ahead++;
        }
      }
      waiting += queue.size();
    }
    core.metrics().waiting(waiting);
  }

  /** Drains the queues after the current event. */
  void scheduleDrain() {
    if (!isDrainScheduled) {
      isDrainScheduled = true;
      core.loop().execute(this::drain);
    }
  }

  /** A slot became free. */
  void onEndpointFreed() {
    if (!queues.isEmpty()) {
      scheduleDrain();
    }
  }

  /** Removes a request from the queues. */
  void dequeue(RequestFlow flow) {
    for (WaitQueue<RequestFlow> queue : queues.values()) {
      queue.remove(flow);
    }
  }

  /** Records a tick; returns whether this daemon stood still, so that its view is to be read. */
  boolean onTickStarted() {
    return stallGuard.onTick(core.nowMs());
  }

  /** The view has been read again after a stall. */
  void onViewRefreshed() {
    stallGuard.onRefreshed();
    releaseHeld();
  }

  /** Admits the requests that were held during a stall, once it is over. */
  void releaseHeld() {
    if (held.isEmpty() || stallGuard.isHolding(core.nowMs())) {
      return;
    }
    List<RequestFlow> released = List.copyOf(held);
    held.clear();
    for (RequestFlow flow : released) {
      if (!flow.isEnded()) {
        admit(flow);
      }
    }
    scheduleDrain();
  }
}
