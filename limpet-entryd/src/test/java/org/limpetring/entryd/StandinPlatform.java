package org.limpetring.entryd;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's store, by its published calls; in memory, with fault switches. */
public final class StandinPlatform implements AutoCloseable {

  private record Stored(String kind, String name, long revision, String spec, boolean isRemoved) {}

  private final HttpServer server;
  private final Map<String, Stored> objects = new TreeMap<>();
  private final List<Stored> history = new ArrayList<>();
  private long revision = 1;
  private volatile boolean isDown;

  /** Empty store on a free loopback port. */
  public StandinPlatform() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/api/objects/", this::answer);
    server.start();
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return server.getAddress();
  }

  /** Refuses every call, or no longer. */
  public void setDown(boolean isDown) {
    this.isDown = isDown;
  }

  /** Writes an object. */
  public synchronized void put(String kind, String name, String spec) {
    Stored stored = new Stored(kind, name, ++revision, spec, false);
    objects.put(kind + '/' + name, stored);
    history.add(stored);
    notifyAll();
  }

  /** Removes an object. */
  public synchronized void remove(String kind, String name) {
    if (objects.remove(kind + '/' + name) != null) {
      history.add(new Stored(kind, name, ++revision, "null", true));
      notifyAll();
    }
  }

  private void answer(HttpExchange call) throws IOException {
    try (call) {
      byte[] request = call.getRequestBody().readAllBytes();
      String path = call.getRequestURI().getPath().substring("/api/objects/".length());
      String query = String.valueOf(call.getRequestURI().getQuery());
      if (isDown) {
        send(call, 503, "{}");
      } else if (call.getRequestMethod().equals("GET")) {
        read(call, path, query);
      } else {
        write(call, path, new String(request, StandardCharsets.UTF_8));
      }
    } catch (InterruptedException stop) {
      Thread.currentThread().interrupt();
    }
  }

  private void read(HttpExchange call, String path, String query)
      throws IOException, InterruptedException {
    int slash = path.indexOf('/');
    String body;
    int status = 200;
    synchronized (this) {
      if (slash >= 0) {
        Stored stored = objects.get(path);
        status = stored == null ? 404 : 200;
        body = stored == null ? "{}" : json(stored);
      } else if (query.startsWith("watch=")) {
        body = watch(path, Long.parseLong(query.substring(6, query.indexOf('&'))));
      } else {
        List<String> items = new ArrayList<>();
        for (Stored stored : objects.values()) {
          if (stored.kind().equals(path)) {
            items.add(json(stored));
          }
        }
        body =
            "{\"items\":[%s],\"truncated\":false,\"store_revision\":%d}"
                .formatted(String.join(",", items), revision);
      }
    }
    send(call, status, body);
  }

  private synchronized String watch(String kind, long after) throws InterruptedException {
    long endMs = System.currentTimeMillis() + 2_000;
    while (true) {
      List<String> events = new ArrayList<>();
      for (Stored stored : history) {
        if (stored.kind().equals(kind) && stored.revision() > after) {
          events.add(
              "{\"tombstone\":%s,\"object\":%s}".formatted(stored.isRemoved(), json(stored)));
        }
      }
      long leftMs = endMs - System.currentTimeMillis();
      if (!events.isEmpty() || leftMs <= 0) {
        return "{\"events\":[%s],\"store_revision\":%d}"
            .formatted(String.join(",", events), revision);
      }
      wait(leftMs);
    }
  }

  private void write(HttpExchange call, String path, String body) throws IOException {
    String kind = path.contains("/") ? path.substring(0, path.indexOf('/')) : path;
    String name = between(body, "\"name\":\"", "\"");
    String spec = body.substring(body.indexOf("\"spec\":") + 7, body.length() - 1);
    int status = 200;
    String answer = "{}";
    synchronized (this) {
      Stored before = objects.get(kind + '/' + name);
      boolean isCreate = call.getRequestMethod().equals("POST");
      boolean isConflict =
          isCreate
              ? before != null
              : before == null
                  || before.revision() != Long.parseLong(between(body, "\"rev\":", "}"));
      if (isConflict) {
        status = 409;
      } else {
        put(kind, name, spec);
        answer = json(Objects.requireNonNull(objects.get(kind + '/' + name)));
      }
    }
    send(call, status, answer);
  }

  private static String between(String text, String before, String after) {
    int start = text.indexOf(before) + before.length();
    return text.substring(start, text.indexOf(after, start));
  }

  private static String json(Stored stored) {
    return "{\"metadata\":{\"name\":\"%s\",\"rev\":%d},\"spec\":%s}"
        .formatted(stored.name(), stored.revision(), stored.spec());
  }

  private static void send(HttpExchange call, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    call.getResponseHeaders().set("Content-Type", "application/json");
    call.sendResponseHeaders(status, bytes.length);
    call.getResponseBody().write(bytes);
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
