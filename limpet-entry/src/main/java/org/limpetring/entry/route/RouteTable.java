package org.limpetring.entry.route;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.Route;
import org.limpetring.entry.model.Team;

/** Decides route, team and service of a request; longest prefix of the host wins. */
public final class RouteTable {

  private final EntryConfig config;
  private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();

  /** Table of one configuration. */
  public RouteTable(EntryConfig config) {
    this.config = config;
    for (Route route : config.routes()) {
      routesByHost
          .computeIfAbsent(route.host(), host -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
  }

  /** The configuration behind the table. */
  public EntryConfig config() {
    return config;
  }

  /** The route of a host and path, or null. */
  public @Nullable Route match(String host, String path) {
    Map<String, Route> routes = routesByHost.get(host);
    if (routes == null) {
      return null;
    }
    // prefixes end with a slash, so only these lengths can match
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = routes.get(path.substring(0, end + 1));
      if (route != null) {
        return route;
      }
    }
    return null;
  }

  /** Whether the route is open to a caller with that key; {@code key} may be null. */
  public boolean isAllowed(Route route, @Nullable String key) {
    return route.isPublic() || !config.requiresKey() || team(key) != null;
  }

  /** The team that holds a key, or null. */
  public @Nullable Team team(@Nullable String key) {
    return key == null ? null : config.teamsByKey().get(key);
  }

  /** Rank of a request; the team's goes before the route's. */
  public int priority(Route route, @Nullable Team team) {
    return team != null && team.priority() != Team.NO_PRIORITY ? team.priority() : route.priority();
  }

  /**
   * Service that takes a request, by weight.
   *
   * @param draw even in 0 to 1, the same for all tries of a request
   */
  public String service(Route route, double draw) {
    double total = 0;
    for (Route.Target target : route.targets()) {
      total += target.weight();
    }
    double left = draw * total;
    for (Route.Target target : route.targets()) {
      left -= target.weight();
      if (left < 0) {
        return target.service();
      }
    }
    return route.targets().get(route.targets().size() - 1).service();
  }
}
