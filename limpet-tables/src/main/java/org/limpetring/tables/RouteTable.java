package org.limpetring.tables;

import java.util.List;

/** The table of routes with the callers they name; the first matching route wins. */
public record RouteTable(List<Caller> callers, List<Route> routes) {

  /** Table without a row. */
  public static final RouteTable EMPTY = new RouteTable(List.of(), List.of());

  /** Copies the lists. */
  public RouteTable {
    callers = List.copyOf(callers);
    routes = List.copyOf(routes);
  }
}
