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
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.MemberState;
import org.limpetring.entry.model.Membership;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.ServiceSpec;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.place.Endpoint;

/**
 * Places that take requests: heads of whole groups and plain upstreams, by pool and model.
 *
 * <p>Made anew from the list of upstreams and the configuration after each change; a place that is
 * still there keeps its load.
 */
final class PlaceIndex {

  private final PlatformView view;
  private final Map<String, Endpoint> places = new LinkedHashMap<>();
  private final Map<String, List<Endpoint>> byPool = new HashMap<>();
  private final Set<String> endedGroups = new HashSet<>();
  private boolean isStale;

  PlaceIndex(PlatformView view) {
    this.view = view;
  }

  /** The list of upstreams or the configuration has changed. */
  void invalidate() {
    isStale = true;
  }

  boolean isStale() {
    return isStale;
  }

  /** A group takes no more requests; returns whether that is news. */
  boolean end(String placeKey) {
    boolean isNews = endedGroups.add(placeKey);
    isStale = isStale || isNews;
    return isNews;
  }

  /** All places. */
  Collection<Endpoint> all() {
    return places.values();
  }

  /** The place of that key, or null. */
  @Nullable Endpoint get(String placeKey) {
    return places.get(placeKey);
  }

  /** Places of a pool; see {@link #poolKey}. */
  List<Endpoint> ofPool(String poolKey) {
    return byPool.getOrDefault(poolKey, List.of());
  }

  /** Names the places that can run a request for a service and model. */
  static String poolKey(EntryConfig config, String service, @Nullable String model) {
    ServiceSpec spec = config.service(service);
    boolean isPlain = spec == null || spec.engine() == null || model == null;
    return isPlain ? service + '/' : service + '/' + model;
  }

  /** Names a head's time in one group. */
  static String placeKey(Upstream head, Membership membership) {
    return placeKey(head.id(), membership.group(), membership.epoch());
  }

  /** Names a head's time in one group. */
  static String placeKey(String headId, String group, long epoch) {
    return headId + '/' + group + '/' + epoch;
  }

  /** Makes the index anew if it is stale. */
  void refresh(EntryConfig config) {
    if (!isStale) {
      return;
    }
    isStale = false;
    Map<String, Integer> members = countMembers();
    Map<String, Endpoint> before = new HashMap<>(places);
    places.clear();
    byPool.clear();
    for (PlatformView.Listed listed : view.upstreams()) {
      Upstream upstream = listed.upstream;
      ServiceSpec service = config.service(upstream.service());
      if (service == null || upstream.isLeaving() || listed.removeAtMs != Long.MAX_VALUE) {
        continue;
      }
      Endpoint place = place(upstream, service, members, before);
      if (place != null && !view.domainsOut().contains(upstream.failureDomain())) {
        places.put(place.key(), place);
        byPool
            .computeIfAbsent(
                poolKey(config, service.name(), modelName(place)), key -> new ArrayList<>())
            .add(place);
      }
    }
  }

  private @Nullable Endpoint place(
      Upstream upstream,
      ServiceSpec service,
      Map<String, Integer> members,
      Map<String, Endpoint> before) {
    EngineSpec engine = service.engine();
    if (engine == null) {
      Endpoint known = before.get(upstream.incarnation());
      return known != null && known.upstream().address().equals(upstream.address())
          ? known
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
    boolean isListedWhole = model != null && members.getOrDefault(groupKey, 0) >= model.groupSize();
    String key = placeKey(upstream, membership);
    Endpoint known = before.get(key);
    // a member that left the list may only be cut off from the store; the planner asks it
    boolean isWhole = isListedWhole || known != null;
    if (model == null || !isWhole || endedGroups.contains(key)) {
      return null;
    }
    return known != null ? known : new Endpoint(key, upstream, engine, model);
  }

  /** Listed members of each group; those that left the list do not count. */
  private Map<String, Integer> countMembers() {
    Map<String, Integer> counts = new HashMap<>();
    for (PlatformView.Listed listed : view.upstreams()) {
      Membership membership = listed.upstream.membership();
      if (membership != null && membership.state() != MemberState.JOINING) {
        counts.merge(groupKey(listed.upstream.service(), membership), 1, Integer::sum);
      }
    }
    return counts;
  }

  private static String groupKey(String service, Membership membership) {
    return service + '/' + membership.group() + '/' + membership.epoch();
  }

  private static String modelName(Endpoint place) {
    ModelSpec model = place.model();
    return model == null ? "" : model.name();
  }

  /** Forgets ended groups that no listed head names any more. */
  void forgetEnded() {
    Set<String> current = new HashSet<>();
    for (PlatformView.Listed listed : view.upstreams()) {
      Membership membership = listed.upstream.membership();
      if (membership != null && membership.rank() == 0) {
        current.add(placeKey(listed.upstream, membership));
      }
    }
    endedGroups.retainAll(current);
  }
}
