import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
 *
 * <p>Reads are linearizable, except that calls with {@code serializable=1} are answered from the
 * state of {@link #staleMs} ago. Lists are cut into pages of {@link #PAGE} items.
 */
final class Store {

  static final int PAGE = 500;

  record Stored(
      String kind, String name, long revision, long createRevision, Object spec, boolean isRemoved, long atMs) {

    String json() {
      return Json.write(
          Json.object(
              "metadata",
              Json.object("name", name, "rev", revision, "create_rev", createRevision, "finalizers", List.of(), "deleting", false),
              "spec",
              spec,
              "status",
              Map.of()));
    }
  }

  /** String in specs that reads return as bytes that are no UTF-8 text, as another writer left them. */
  static final String UNREADABLE = "unreadable-bytes";

  private static final byte[] UNREADABLE_BYTES = {(byte) 0xff, (byte) 0xfe, (byte) 0x80};

  /** Age of the data that serializable calls return. */
  volatile long staleMs;

  private static final long ANSWER_MS = 4;

  private final HttpServer server;
  private final TreeMap<String, Stored> objects = new TreeMap<>();
  private final List<Stored> history = new ArrayList<>();
  private long revision = 1;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/api/objects/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Creates or replaces an object unconditionally; returns its revision, which acknowledges it. */
  synchronized long put(String kind, String name, Object spec) {
    Stored previous = objects.get(kind + '/' + name);
    revision++;
    Stored stored =
        new Stored(kind, name, revision, previous == null ? revision : previous.createRevision(), spec, false, nowMs());
    objects.put(kind + '/' + name, stored);
    history.add(stored);
    notifyAll();
    return revision;
  }

  synchronized void remove(String kind, String name) {
    Stored previous = objects.remove(kind + '/' + name);
    if (previous != null) {
      revision++;
      history.add(new Stored(kind, name, revision, previous.createRevision(), previous.spec(), true, nowMs()));
      notifyAll();
    }
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String path = exchange.getRequestURI().getPath().substring("/api/objects/".length());
      Map<String, String> query = query(exchange.getRequestURI().getQuery());
      Thread.sleep(ANSWER_MS);
      switch (exchange.getRequestMethod()) {
        case "GET" -> read(exchange, path, query);
        case "POST", "PUT" -> write(exchange, path, body);
        default -> send(exchange, 405, "{}");
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split("&")) {
      int equals = pair.indexOf('=');
      query.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return query;
  }

  private void read(HttpExchange exchange, String path, Map<String, String> query)
      throws IOException, InterruptedException {
    boolean isStale = "1".equals(query.get("serializable"));
    if (path.contains("/")) {
      Object body;
      synchronized (this) {
        Stored stored = objects.get(path);
        body = stored == null ? null : stored.json();
      }
      send(exchange, body == null ? 404 : 200, body == null ? "{}" : (String) body);
    } else if (query.containsKey("watch")) {
      watch(exchange, path, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")), isStale);
    } else {
      list(exchange, path, query.getOrDefault("after", ""), isStale);
    }
  }

  private void list(HttpExchange exchange, String kind, String after, boolean isStale) throws IOException {
    StringBuilder items = new StringBuilder();
    boolean isTruncated = false;
    long asOf;
    synchronized (this) {
      long untilMs = isStale ? nowMs() - staleMs : Long.MAX_VALUE;
      TreeMap<String, Stored> state = new TreeMap<>();
      asOf = 1;
      for (Stored stored : history) {
        if (stored.atMs() > untilMs) {
          break;
        }
        asOf = stored.revision();
        if (stored.kind().equals(kind)) {
          if (stored.isRemoved()) {
            state.remove(stored.name());
          } else {
            state.put(stored.name(), stored);
          }
        }
      }
      int count = 0;
      for (Stored stored : state.tailMap(after, false).values()) {
        if (count++ == PAGE) {
          isTruncated = true;
          break;
        }
        items.append(items.length() == 0 ? "" : ",").append(stored.json());
      }
    }
    send(exchange, 200, "{\"items\":[" + items + "],\"truncated\":" + isTruncated + ",\"store_revision\":" + asOf + "}");
  }

  private void watch(HttpExchange exchange, String kind, long after, long waitMs, boolean isStale)
      throws IOException, InterruptedException {
    long deadlineMs = nowMs() + waitMs;
    String body = null;
    synchronized (this) {
      while (body == null) {
        long untilMs = isStale ? nowMs() - staleMs : Long.MAX_VALUE;
        long asOf = after;
        StringBuilder events = new StringBuilder();
        for (Stored stored : history) {
          if (stored.revision() <= after || stored.atMs() > untilMs) {
            continue;
          }
          asOf = Math.max(asOf, stored.revision());
          if (stored.kind().equals(kind)) {
            events
                .append(events.length() == 0 ? "" : ",")
                .append("{\"object\":" + stored.json() + ",\"tombstone\":" + stored.isRemoved() + "}");
          }
        }
        long leftMs = deadlineMs - nowMs();
        if (events.length() > 0 || leftMs <= 0) {
          body = "{\"events\":[" + events + "],\"store_revision\":" + asOf + "}";
        } else {
          wait(isStale ? Math.min(leftMs, 20) : leftMs);
        }
      }
    }
    send(exchange, 200, body);
  }

  private void write(HttpExchange exchange, String path, String text) throws IOException {
    Map<String, Object> body = Json.object(Json.parse(text));
    Map<String, Object> metadata = Json.object(body.get("metadata"));
    boolean isCreate = exchange.getRequestMethod().equals("POST");
    String kind = isCreate ? path : path.substring(0, path.indexOf('/'));
    String name = isCreate ? (String) metadata.get("name") : path.substring(path.indexOf('/') + 1);
    Object expected = metadata.get("rev");
    int status = 200;
    String answer = "{}";
    synchronized (this) {
      Stored current = objects.get(kind + '/' + name);
      boolean isConflict =
          isCreate
              ? current != null
              : current == null || (expected != null && current.revision() != (Long) expected);
      if (isConflict) {
        status = 409;
        answer = current == null ? "{}" : current.json();
      } else {
        put(kind, name, body.get("spec"));
        answer = objects.get(kind + '/' + name).json();
      }
    }
    send(exchange, status, answer);
  }

  private static void send(HttpExchange exchange, int status, String body) throws IOException {
    String unreadable = new String(UNREADABLE_BYTES, StandardCharsets.ISO_8859_1);
    // all other text of the stand-ins is ASCII
    byte[] bytes = body.replace(UNREADABLE, unreadable).getBytes(StandardCharsets.ISO_8859_1);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  void close() {
    server.stop(0);
  }
}
