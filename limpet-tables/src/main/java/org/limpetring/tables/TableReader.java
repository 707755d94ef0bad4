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

/** Parses the operators' tables from JSON with comments; any error rejects the whole table. */
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
  private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
  private static final Set<String> ALLOWED_METHODS =
      Set.of("GET", "POST", "PUT", "PATCH", "DELETE");

  private TableReader() {}

  /** Parses the table of routes. */
  public static Validation<RouteTable> readRoutes(String text) {
    return readTable(ROUTES, text, root -> new RouteTable(readCallers(root), readRouteRows(root)));
  }

  /** Parses the table of pools. */
  public static Validation<PoolTable> readPools(String text) {
    return readTable(POOLS, text, root -> new PoolTable(readPoolRows(root)));
  }

  private static <T> Validation<T> readTable(
      String source, String text, Function<JsonObjectReader, T> parser) {
    Validation<LocatedJson> json = LocatedJson.parse(source, text);
    if (json instanceof Validation.Invalid<LocatedJson> invalid) {
      return new Validation.Invalid<>(invalid.errors());
    }
    List<ValidationError> errors = new ArrayList<>();
    JsonObjectReader root =
        JsonObjectReader.root(((Validation.Valid<LocatedJson>) json).value(), errors);
    T table = parser.apply(root);
    root.rejectUnknownFields();
    return errors.isEmpty() ? new Validation.Valid<>(table) : new Validation.Invalid<>(errors);
  }

  private static List<Caller> readCallers(JsonObjectReader root) {
    List<Caller> callers = new ArrayList<>();
    Set<CallerId> names = new HashSet<>();
    Set<String> keys = new HashSet<>();
    for (JsonObjectReader row : root.objects("callers")) {
      CallerId name = row.name("name", CallerId::new, new CallerId("invalid"));
      String key = row.text("keySha256");
      int weight = (int) row.number("weight", 1, MAX_WEIGHT, 1);
      if (!SHA256_HEX.matcher(key).matches()) {
        row.addError("keySha256", "must be 64 lower-case hexadecimal digits");
      } else if (!keys.add(key)) {
        row.addError("keySha256", "is already used by another caller");
      }
      if (!names.add(name)) {
        row.addError("name", "is already used");
      }
      row.rejectUnknownFields();
      callers.add(new Caller(name, key, weight));
    }
    return callers;
  }

  private static List<Route> readRouteRows(JsonObjectReader root) {
    List<Route> routes = new ArrayList<>();
    Set<RouteName> names = new HashSet<>();
    for (JsonObjectReader row : root.objects("routes")) {
      Route route = readRoute(row);
      if (!names.add(route.name())) {
        row.addError("name", "is already used");
      }
      routes.add(route);
    }
    return routes;
  }

  private static Route readRoute(JsonObjectReader row) {
    RouteName name = row.name("name", RouteName::new, new RouteName("invalid"));
    List<CallerId> callers = row.nameList("callers", CallerId::new);
    String pathPrefix = row.text("pathPrefix");
    if (!pathPrefix.startsWith("/")) {
      row.addError("pathPrefix", "must start with /");
    }
    Set<String> methods = new HashSet<>(row.textList("methods"));
    if (!ALLOWED_METHODS.containsAll(methods)) {
      row.addError("methods", "must only contain " + ALLOWED_METHODS.stream().sorted().toList());
    }
    String model = row.optionalText("model");
    PoolName pool = row.name("pool", PoolName::new, new PoolName("invalid"));
    boolean idempotent = row.flag("idempotent", false);
    int priority = (int) row.number("priority", 0, MAX_PRIORITY, DEFAULT_PRIORITY);
    long deadlineMs = row.number("deadlineMs", 1, MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);
    row.rejectUnknownFields();
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

  private static List<Pool> readPoolRows(JsonObjectReader root) {
    List<Pool> pools = new ArrayList<>();
    Set<PoolName> names = new HashSet<>();
    Set<HostId> hosts = new HashSet<>();
    for (JsonObjectReader row : root.objects("pools")) {
      Pool pool = readPool(row);
      if (!names.add(pool.name())) {
        row.addError("name", "is already used");
      }
      for (HostId host : pool.hosts()) {
        if (!hosts.add(host)) {
          row.addError("hosts", "'" + host + "' is already in another pool");
        }
      }
      pools.add(pool);
    }
    return pools;
  }

  private static Pool readPool(JsonObjectReader row) {
    PoolName name = row.name("name", PoolName::new, new PoolName("invalid"));
    String supplier = row.text("supplier");
    EngineAdapter adapter = row.choice("adapter", EngineAdapter.class, EngineAdapter.CHAT_ENGINE);
    String model = adapter.takesOrders() ? row.text("model") : "";
    List<HostId> hosts = row.nameList("hosts", HostId::new);
    int port = (int) row.number("port", 1, MAX_PORT, 0);
    if (port == 0) {
      row.addError("port", "is missing or invalid");
    }
    int groupSize = (int) row.number("groupSize", 1, Pool.MAX_GROUP_SIZE, 1);
    if (!adapter.takesOrders() && groupSize != 1) {
      row.addError("groupSize", "must be 1 for plain services");
    }
    if (hosts.size() < groupSize) {
      row.addError("hosts", "lists fewer hosts than one group needs");
    }
    int groupsWanted = (int) row.number("groupsWanted", 0, MAX_CONCURRENCY, 0);
    int groupConcurrency = (int) row.number("groupConcurrency", 1, MAX_CONCURRENCY, 16);
    int coldBudget = (int) row.number("coldBudget", 1, MAX_CONCURRENCY, 2);
    boolean checksFencing = row.flag("checksFencing", false);
    row.rejectUnknownFields();
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
