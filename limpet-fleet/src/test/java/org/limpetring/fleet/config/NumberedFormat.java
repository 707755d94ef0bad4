package org.limpetring.fleet.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.limpetring.base.PoolName;
import org.limpetring.base.RouteName;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.PoolTable;
import org.limpetring.tables.Route;
import org.limpetring.tables.RouteTable;
import org.limpetring.tables.TableValidator.JoinedTables;
import org.limpetring.tables.Validation;
import org.limpetring.tables.ValidationError;

/**
 * Format for tests: a table is a number or the word "bad"; a configuration is an index into a list.
 */
public final class NumberedFormat implements ConfigFormat {

  private final List<AcceptedConfig> written = new ArrayList<>();

  @Override
  public Validation<JoinedTables> join(String routes, String pools) {
    if (routes.equals("bad")) {
      return new Validation.Invalid<>(List.of(new ValidationError("routes", 1, "", "bad")));
    }
    return new Validation.Valid<>(new JoinedTables(table(routes), PoolTable.EMPTY));
  }

  @Override
  public String write(AcceptedConfig config) {
    if (!written.contains(config)) {
      written.add(config);
    }
    return Integer.toString(written.indexOf(config));
  }

  @Override
  public Validation<AcceptedConfig> read(String text) {
    return new Validation.Valid<>(written.get(Integer.parseInt(text)));
  }

  /** The route table whose text is {@code number}. */
  public static RouteTable table(String number) {
    if (number.isEmpty()) {
      return RouteTable.EMPTY;
    }
    Route route =
        new Route(
            new RouteName("route" + number),
            Set.of(),
            "/",
            Set.of(),
            null,
            new PoolName("pool"),
            true,
            0,
            1_000);
    return new RouteTable(List.of(), List.of(route));
  }
}
