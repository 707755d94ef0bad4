package org.limpetring.tables;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.limpetring.base.CallerId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;
import org.limpetring.base.RouteName;

/** Reads the operators' tables from JSON with comments; a table is taken whole or not at all. */
public final class TableReader {

  /** Name of the table of routes, and of its object under {@code tables/}. */
  public static final String ROUTES = "routes";

  /** Name of the table of pools, and of its object under {@code tables/}. */
  public static final String POOLS = "pools";

  private static final long MAX_DEADLINE_MS = 3_600_000;
  private static final long DEFAULT_DEADLINE_MS = 60_000;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_CONCURRENCY = 10_000;
  private static final int MAX_PRIORITY = 9;
  private static final int DEFAULT_PRIORITY = 5;
  private static final int MAX_WEIGHT = 1_000;
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Set<String> METHODS = Set.of("GET", "POST", "PUT", "PATCH", "DELETE");

  private TableReader() {}

  /** Reads the table of routes. */
  public static Checked<RouteTable> readRoutes(String text) {
    return readTable(ROUTES, text, root -> new RouteTable(readCallers(root), readRouteRows(root)));
  }

  /** Reads the table of pools. */
  public static Checked<PoolTable> readPools(String text) {
    return readTable(POOLS, text, root -> new PoolTable(readPoolRows(root)));
  }

  private static <T> Checked<T> readTable(String source, String text, Function<JsonRow, T> rows) {
    Checked<LocatedJson> json = LocatedJson.parse(source, text);
    if (json instanceof Checked.Invalid<LocatedJson> invalid) {
      return new Checked.Invalid<>(invalid.mistakes());
    }
    List<TableMistake> mistakes = new ArrayList<>();
    JsonRow root = JsonRow.root(((Checked.Valid<LocatedJson>) json).value(), mistakes);
    T table = rows.apply(root);
    root.finish();
    return mistakes.isEmpty() ? new Checked.Valid<>(table) : new Checked.Invalid<>(mistakes);
  }

  private static List<Caller> readCallers(JsonRow root) {
    List<Caller> callers = new ArrayList<>();
    Set<CallerId> names = new HashSet<>();
    Set<String> keys = new HashSet<>();
    for (JsonRow row : root.rows("callers")) {
      CallerId name = row.name("name", CallerId::new, new CallerId("invalid"));
      String key = row.text("keySha256");
      int weight = (int) row.number("weight", 1, MAX_WEIGHT, 1);
      if (!SHA256.matcher(key).matches()) {
        row.mistake("keySha256", "must be 64 lower-case hexadecimal digits");
      } else if (!keys.add(key)) {
        row.mistake("keySha256", "is another caller's key");
      }
      if (!names.add(name)) {
        row.mistake("name", "stands twice");
      }
      row.finish();
      callers.add(new Caller(name, key, weight));
    }
    return callers;
  }

  private static List<Route> readRouteRows(JsonRow root) {
    List<Route> routes = new ArrayList<>();
    Set<RouteName> names = new HashSet<>();
    for (JsonRow row : root.rows("routes")) {
      Route route = readRoute(row);
      if (!names.add(route.name())) {
        row.mistake("name", "stands twice");
      }
      routes.add(route);
    }
    return routes;
  }

  private static Route readRoute(JsonRow row) {
    RouteName name = row.name("name", RouteName::new, new RouteName("invalid"));
    List<CallerId> callers = row.names("callers", CallerId::new);
    String pathPrefix = row.text("pathPrefix");
    if (!pathPrefix.startsWith("/")) {
      row.mistake("pathPrefix", "must start with /");
    }
    Set<String> methods = new HashSet<>(row.texts("methods"));
    if (!METHODS.containsAll(methods)) {
      row.mistake("methods", "must be some of " + METHODS.stream().sorted().toList());
    }
    String model = row.optionalText("model");
    PoolName pool = row.name("pool", PoolName::new, new PoolName("invalid"));
    boolean idempotent = row.flag("idempotent", false);
    int priority = (int) row.number("priority", 0, MAX_PRIORITY, DEFAULT_PRIORITY);
    long deadlineMs = row.number("deadlineMs", 1, MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);
    row.finish();
    return new Route(
        name,
        new HashSet<>(callers),
        pathPrefix,
        methods,
        model,
        pool,
        idempotent,
        priority,
        deadlineMs);
  }

  private static List<Pool> readPoolRows(JsonRow root) {
    List<Pool> pools = new ArrayList<>();
    Set<PoolName> names = new HashSet<>();
    Set<HostId> hosts = new HashSet<>();
    for (JsonRow row : root.rows("pools")) {
      Pool pool = readPool(row);
      if (!names.add(pool.name())) {
        row.mistake("name", "stands twice");
      }
      for (HostId host : pool.hosts()) {
        if (!hosts.add(host)) {
          row.mistake("hosts", "'" + host + "' stands in another pool");
        }
      }
      pools.add(pool);
    }
    return pools;
  }

  private static Pool readPool(JsonRow row) {
    PoolName name = row.name("name", PoolName::new, new PoolName("invalid"));
    String supplier = row.text("supplier");
    EngineAdapter adapter = row.choice("adapter", EngineAdapter.class, EngineAdapter.CHAT_ENGINE);
    String model = adapter.takesOrders() ? row.text("model") : "";
    List<HostId> hosts = row.names("hosts", HostId::new);
    int port = (int) row.number("port", 1, MAX_PORT, 0);
    if (port == 0) {
      row.mistake("port", "is missing or wrong");
    }
    int groupSize = (int) row.number("groupSize", 1, Pool.MAX_GROUP_SIZE, 1);
    if (!adapter.takesOrders() && groupSize != 1) {
      row.mistake("groupSize", "must be 1 for plain services");
    }
    if (hosts.size() < groupSize) {
      row.mistake("hosts", "holds fewer hosts than one group needs");
    }
    int groupsWanted = (int) row.number("groupsWanted", 0, MAX_CONCURRENCY, 0);
    int groupConcurrency = (int) row.number("groupConcurrency", 1, MAX_CONCURRENCY, 16);
    int coldBudget = (int) row.number("coldBudget", 1, MAX_CONCURRENCY, 2);
    boolean checksFencing = row.flag("checksFencing", false);
    row.finish();
    return new Pool(
        name,
        supplier,
        adapter,
        model,
        hosts,
        port,
        groupSize,
        groupsWanted,
        groupConcurrency,
        coldBudget,
        checksFencing);
  }
}
