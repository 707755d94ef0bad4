package org.limpetring.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.balancing.Endpoint;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.MemberState;
import org.limpetring.entry.model.Membership;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.ServiceSpec;
import org.limpetring.entry.model.Upstream;

/**
 * Endpoints that accept requests, by pool: heads of complete groups, and plain upstreams.
 *
 * <p>Rebuilt from the listed upstreams and the configuration after each change; an endpoint that
 * remains keeps its load.
 */
final class EndpointIndex {

  private final PlatformView view;
  private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
  private final Map<String, List<Endpoint>> endpointsByPool = new HashMap<>();
  private final Set<String> endedGroups = new HashSet<>();
  private final Set<String> drainingGroups = new HashSet<>();
  private boolean isStale;

  EndpointIndex(PlatformView view) {
    this.view = view;
  }

  /** Marks the index stale after a change of upstreams or configuration. */
  void invalidate() {
    isStale = true;
  }

  boolean isStale() {
    return isStale;
  }

  /** Excludes a group that is being disbanded; returns false if it was excluded already. */
  boolean markEnded(String endpointKey) {
    boolean isNew = endedGroups.add(endpointKey);
    isStale = isStale || isNew;
    return isNew;
  }

  /** Excludes a group that gets no new requests; it may be marked as ended afterwards. */
  void markDraining(String endpointKey) {
    isStale = drainingGroups.add(endpointKey) || isStale;
  }

  /** All endpoints. */
  Collection<Endpoint> all() {
    return endpoints.values();
  }

  /** The endpoint with the key, or null. */
  @Nullable Endpoint get(String endpointKey) {
    return endpoints.get(endpointKey);
  }

  /** Endpoints of a pool; see {@link #poolKey}. */
  List<Endpoint> inPool(String poolKey) {
    return endpointsByPool.getOrDefault(poolKey, List.of());
  }

  /** Endpoints of each pool. */
  Collection<List<Endpoint>> pools() {
    return endpointsByPool.values();
  }

  /** Key of the pool that can run a request for a service and model. */
  static String poolKey(EntryConfig config, String service, @Nullable String model) {
    ServiceSpec spec = config.service(service);
    boolean isPlain = spec == null || spec.engine() == null || model == null;
    return isPlain ? service + '/' : service + '/' + model;
  }

  /** Key of a head in one epoch of a group. */
  static String endpointKey(Upstream head, Membership membership) {
    return endpointKey(head.id(), membership.group(), membership.epoch());
  }

  /** Key of a head in one epoch of a group. */
  static String endpointKey(String headId, String group, long epoch) {
    return headId + '/' + group + '/' + epoch;
  }

  /** Rebuilds the index if it is stale; returns the endpoints that it did not hold before. */
  List<Endpoint> refresh(EntryConfig config) {
    if (!isStale) {
      return List.of();
    }
    isStale = false;
    Map<String, Integer> memberCounts = countMembers();
    Map<String, Endpoint> previous = new HashMap<>(endpoints);
    List<Endpoint> added = new ArrayList<>();
    endpoints.clear();
    endpointsByPool.clear();
    for (PlatformView.UpstreamEntry entry : view.upstreams()) {
      Upstream upstream = entry.upstream;
      ServiceSpec service = config.service(upstream.service());
      if (service == null || upstream.isLeaving() || entry.removeAtMs != Long.MAX_VALUE) {
        continue;
      }
      Endpoint endpoint = endpoint(upstream, service, memberCounts, previous);
      if (endpoint != null && !view.domainsOut().contains(upstream.failureDomain())) {
        endpoints.put(endpoint.key(), endpoint);
        if (!previous.containsKey(endpoint.key())) {
          added.add(endpoint);
        }
        endpointsByPool
            .computeIfAbsent(
                poolKey(config, service.name(), modelName(endpoint)), key -> new ArrayList<>())
            .add(endpoint);
      }
    }
    return added;
  }

  private @Nullable Endpoint endpoint(
      Upstream upstream,
      ServiceSpec service,
      Map<String, Integer> memberCounts,
      Map<String, Endpoint> previous) {
    EngineSpec engine = service.engine();
    if (engine == null) {
      Endpoint existing = previous.get(upstream.incarnation());
      return existing != null && existing.upstream().address().equals(upstream.address())
          ? existing
          : new Endpoint(upstream.incarnation(), upstream, null, null);
    }
    Membership membership = upstream.membership();
    String modelName = upstream.engine() == null ? null : upstream.engine().model();
    if (membership == null
        || membership.rank() != 0
        || membership.state() != MemberState.OPEN
        || modelName == null) {
      return null;
    }
    ModelSpec model = engine.model(modelName);
    String groupKey = groupKey(upstream.service(), membership);
    boolean areAllMembersListed =
        model != null && memberCounts.getOrDefault(groupKey, 0) >= model.groupSize();
    String key = endpointKey(upstream, membership);
    Endpoint existing = previous.get(key);
    // an unlisted member may only be cut off from the store; the planner probes it directly
    boolean isWhole = areAllMembersListed || existing != null;
    if (model == null || !isWhole || endedGroups.contains(key) || drainingGroups.contains(key)) {
      return null;
    }
    return existing != null ? existing : new Endpoint(key, upstream, engine, model);
  }

  /** Number of listed members of each group, without those still joining. */
  private Map<String, Integer> countMembers() {
    Map<String, Integer> counts = new HashMap<>();
    for (PlatformView.UpstreamEntry entry : view.upstreams()) {
      Membership membership = entry.upstream.membership();
      if (membership != null && membership.state() != MemberState.JOINING) {
        counts.merge(groupKey(entry.upstream.service(), membership), 1, Integer::sum);
      }
    }
    return counts;
  }

  private static String groupKey(String service, Membership membership) {
    return service + '/' + membership.group() + '/' + membership.epoch();
  }

  private static String modelName(Endpoint endpoint) {
    ModelSpec model = endpoint.model();
    return model == null ? "" : model.name();
  }

  /** Discards disbanded groups that no listed head belongs to any more. */
  void forgetEnded() {
    Set<String> current = new HashSet<>();
    for (PlatformView.UpstreamEntry entry : view.upstreams()) {
      Membership membership = entry.upstream.membership();
      if (membership != null && membership.rank() == 0) {
        current.add(endpointKey(entry.upstream, membership));
      }
    }
    endedGroups.retainAll(current);
    drainingGroups.retainAll(current);
  }
}
