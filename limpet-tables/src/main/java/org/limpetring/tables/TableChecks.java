package org.limpetring.tables;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.CallerId;
import org.limpetring.base.PoolName;

/** Checks that need both tables: names that one uses and the other must define. */
public final class TableChecks {

  private TableChecks() {}

  /** Reads both tables, checks each and then both together. */
  public static Checked<JoinedTables> join(String routesText, String poolsText) {
    List<TableMistake> mistakes = new ArrayList<>();
    Checked<RouteTable> routes = TableReader.readRoutes(routesText);
    Checked<PoolTable> pools = TableReader.readPools(poolsText);
    if (routes instanceof Checked.Invalid<RouteTable> invalid) {
      mistakes.addAll(invalid.mistakes());
    }
    if (pools instanceof Checked.Invalid<PoolTable> invalid) {
      mistakes.addAll(invalid.mistakes());
    }
    if (routes instanceof Checked.Valid<RouteTable> validRoutes
        && pools instanceof Checked.Valid<PoolTable> validPools) {
      mistakes.addAll(danglingNames(routesText, validRoutes.value(), validPools.value()));
      if (mistakes.isEmpty()) {
        return new Checked.Valid<>(new JoinedTables(validRoutes.value(), validPools.value()));
      }
    }
    return new Checked.Invalid<>(mistakes);
  }

  private static List<TableMistake> danglingNames(
      String routesText, RouteTable routes, PoolTable pools) {
    Set<PoolName> poolNames = new HashSet<>();
    pools.pools().forEach(pool -> poolNames.add(pool.name()));
    Set<CallerId> callerNames = new HashSet<>();
    routes.callers().forEach(caller -> callerNames.add(caller.name()));
    List<TableMistake> mistakes = new ArrayList<>();
    for (int index = 0; index < routes.routes().size(); index++) {
      Route route = routes.routes().get(index);
      String place = "/routes/" + index;
      if (!poolNames.contains(route.pool())) {
        mistakes.add(
            mistake(routesText, place + "/pool", "no pool is named '" + route.pool() + "'"));
      }
      for (CallerId caller : route.callers()) {
        if (!callerNames.contains(caller)) {
          mistakes.add(
              mistake(routesText, place + "/callers", "no caller is named '" + caller + "'"));
        }
      }
    }
    return mistakes;
  }

  private static TableMistake mistake(String text, String place, String reason) {
    int line =
        LocatedJson.parse(TableReader.ROUTES, text) instanceof Checked.Valid<LocatedJson> json
            ? json.value().line(place)
            : 0;
    return new TableMistake(TableReader.ROUTES, line, place, reason);
  }

  /** Both tables, free of mistakes. */
  public record JoinedTables(RouteTable routes, PoolTable pools) {}
}
