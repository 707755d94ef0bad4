package org.limpetring.tables;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.CallerId;
import org.limpetring.base.PoolName;

/** Parses both tables and checks that each name they reference is defined. */
public final class TableValidator {

  private TableValidator() {}

  /** Parses and validates each table, then the references between them. */
  public static Validation<JoinedTables> join(String routesText, String poolsText) {
    List<ValidationError> errors = new ArrayList<>();
    Validation<RouteTable> routes = TableReader.readRoutes(routesText);
    Validation<PoolTable> pools = TableReader.readPools(poolsText);
    if (routes instanceof Validation.Invalid<RouteTable> invalid) {
      errors.addAll(invalid.errors());
    }
    if (pools instanceof Validation.Invalid<PoolTable> invalid) {
      errors.addAll(invalid.errors());
    }
    if (routes instanceof Validation.Valid<RouteTable> validRoutes
        && pools instanceof Validation.Valid<PoolTable> validPools) {
      errors.addAll(undefinedReferences(routesText, validRoutes.value(), validPools.value()));
      if (errors.isEmpty()) {
        return new Validation.Valid<>(new JoinedTables(validRoutes.value(), validPools.value()));
      }
    }
    return new Validation.Invalid<>(errors);
  }

  private static List<ValidationError> undefinedReferences(
      String routesText, RouteTable routes, PoolTable pools) {
    Set<PoolName> poolNames = new HashSet<>();
    pools.pools().forEach(pool -> poolNames.add(pool.name()));
    Set<CallerId> callerNames = new HashSet<>();
    routes.callers().forEach(caller -> callerNames.add(caller.name()));
    List<ValidationError> errors = new ArrayList<>();
    for (int index = 0; index < routes.routes().size(); index++) {
      Route route = routes.routes().get(index);
      String pointer = "/routes/" + index;
      if (!poolNames.contains(route.pool())) {
        errors.add(error(routesText, pointer + "/pool", "no pool is named '" + route.pool() + "'"));
      }
      for (CallerId caller : route.callers()) {
        if (!callerNames.contains(caller)) {
          errors.add(
              error(routesText, pointer + "/callers", "no caller is named '" + caller + "'"));
        }
      }
    }
    return errors;
  }

  private static ValidationError error(String text, String pointer, String reason) {
    int line =
        LocatedJson.parse(TableReader.ROUTES, text) instanceof Validation.Valid<LocatedJson> json
            ? json.value().line(pointer)
            : 0;
    return new ValidationError(TableReader.ROUTES, line, pointer, reason);
  }

  /** Both tables, validated. */
  public record JoinedTables(RouteTable routes, PoolTable pools) {}
}
