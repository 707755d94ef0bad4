package org.limpetring.entry.model;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Configuration in force: both tables of the operators, joined.
 *
 * @param version grows with each change
 * @param teamsByKey teams by each of their keys
 * @param requiresKey whether callers of routes that aren't public need a key
 */
public record EntryConfig(
    long version,
    List<Route> routes,
    Map<String, ServiceSpec> services,
    Map<String, Team> teamsByKey,
    boolean requiresKey,
    Limits limits) {

  /** Copies the tables. */
  public EntryConfig {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    teamsByKey = Map.copyOf(teamsByKey);
  }

  /** The pool of that name, or null. */
  public @Nullable ServiceSpec service(String name) {
    return services.get(name);
  }
}
