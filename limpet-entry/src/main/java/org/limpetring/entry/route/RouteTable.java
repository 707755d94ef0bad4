package org.limpetring.entry.route;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.Route;
import org.limpetring.entry.model.Team;

/** Resolves route, team and service of a request by host and longest path prefix. */
public final class RouteTable {

  private final EntryConfig config;
  private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();

  /** Indexes the routes of a configuration. */
  public RouteTable(EntryConfig config) {
    this.config = config;
    for (Route route : config.routes()) {
      routesByHost
          .computeIfAbsent(route.host(), host -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
  }

  /** Returns the configuration that the table was built from. */
  public EntryConfig config() {
    return config;
  }

  /** Returns the route with the longest matching prefix, or null. */
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

  /** Returns the team of a key, or null. */
  public @Nullable Team team(@Nullable String key) {
    return key == null ? null : config.teamsByKey().get(key);
  }

  /** Returns the priority of a request; a team's priority overrides the route's. */
  public int priority(Route route, @Nullable Team team) {
    return team != null && team.priority() != Team.NO_PRIORITY ? team.priority() : route.priority();
  }

  /**
   * Selects the service for a request by weight.
   *
   * @param draw uniformly distributed in [0, 1); the same for all tries of a request
   */
  public String service(Route route, double draw) {
    double total = 0;
    for (Route.Target target : route.targets()) {
      total += target.weight();
    }
    double remaining = draw * total;
    for (Route.Target target : route.targets()) {
      remaining -= target.weight();
      if (remaining < 0) {
        return target.service();
      }
    }
    return route.targets().get(route.targets().size() - 1).service();
  }
}
