package org.limpetring.tables;

import java.util.List;

/** The table of routes and the callers that they reference; the first matching route applies. */
public record RouteTable(List<Caller> callers, List<Route> routes) {

  /** Table without rows. */
  public static final RouteTable EMPTY = new RouteTable(List.of(), List.of());

  /** Copies the lists. */
  public RouteTable {
    callers = List.copyOf(callers);
    routes = List.copyOf(routes);
  }
}
