package org.limpetring.entry.model;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Active configuration, combined from the two tables of the operators.
 *
 * @param version increases with each change
 * @param teamsByKey team of each key
 * @param requiresKey whether callers of routes that aren't public need a key
 */
public record EntryConfig(
    long version,
    List<Route> routes,
    Map<String, ServiceSpec> services,
    Map<String, Team> teamsByKey,
    boolean requiresKey,
    Limits limits) {

  /** Makes defensive copies of the tables. */
  public EntryConfig {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    teamsByKey = Map.copyOf(teamsByKey);
  }

  /** Returns the pool of that name, or null. */
  public @Nullable ServiceSpec service(String name) {
    return services.get(name);
  }
}
