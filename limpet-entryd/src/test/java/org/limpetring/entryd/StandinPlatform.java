package org.limpetring.entryd;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** In-memory stand-in for the platform's store, with its published API and a switch to fail. */
public final class StandinPlatform implements AutoCloseable {

  /** Character that the store returns as bytes that are no UTF-8 text. */
  public static final String UNREADABLE = "\uE0FF";

  private record Stored(String kind, String name, long revision, String spec, boolean isRemoved) {}

  private final HttpServer server;
  private final Map<String, Stored> objects = new TreeMap<>();
  private final List<Stored> history = new ArrayList<>();
  private long revision = 1;
  private volatile boolean isDown;

  /** Starts an empty store on a free loopback port. */
  public StandinPlatform() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/api/objects/", this::handle);
    server.start();
  }

  /** Address that the store listens on. */
  public InetSocketAddress address() {
    return server.getAddress();
  }

  /** Sets whether the store rejects every call. */
  public void setDown(boolean isDown) {
    this.isDown = isDown;
  }

  /** Creates or replaces an object. */
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

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] requestBody = exchange.getRequestBody().readAllBytes();
      String path = exchange.getRequestURI().getPath().substring("/api/objects/".length());
      String query = String.valueOf(exchange.getRequestURI().getQuery());
      if (isDown) {
        send(exchange, 503, "{}");
      } else if (exchange.getRequestMethod().equals("GET")) {
        read(exchange, path, query);
      } else {
        write(exchange, path, new String(requestBody, StandardCharsets.UTF_8));
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void read(HttpExchange exchange, String path, String query)
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
    send(exchange, status, body);
  }

  private synchronized String watch(String kind, long after) throws InterruptedException {
    long deadlineMs = System.currentTimeMillis() + 2_000;
    while (true) {
      List<String> events = new ArrayList<>();
      for (Stored stored : history) {
        if (stored.kind().equals(kind) && stored.revision() > after) {
          events.add(
              "{\"tombstone\":%s,\"object\":%s}".formatted(stored.isRemoved(), json(stored)));
        }
      }
      long leftMs = deadlineMs - System.currentTimeMillis();
      if (!events.isEmpty() || leftMs <= 0) {
        return "{\"events\":[%s],\"store_revision\":%d}"
            .formatted(String.join(",", events), revision);
      }
      wait(leftMs);
    }
  }

  private void write(HttpExchange exchange, String path, String body) throws IOException {
    String kind = path.contains("/") ? path.substring(0, path.indexOf('/')) : path;
    String name = between(body, "\"name\":\"", "\"");
    String spec = body.substring(body.indexOf("\"spec\":") + 7, body.length() - 1);
    int status = 200;
    String response = "{}";
    synchronized (this) {
      Stored current = objects.get(kind + '/' + name);
      boolean isCreate = exchange.getRequestMethod().equals("POST");
      boolean isConflict =
          isCreate
              ? current != null
              : current == null
                  || current.revision() != Long.parseLong(between(body, "\"rev\":", "}"));
      if (isConflict) {
        status = 409;
      } else {
        put(kind, name, spec);
        response = json(Objects.requireNonNull(objects.get(kind + '/' + name)));
      }
    }
    send(exchange, status, response);
  }

  private static String between(String text, String prefix, String suffix) {
    int start = text.indexOf(prefix) + prefix.length();
    return text.substring(start, text.indexOf(suffix, start));
  }

  private static String json(Stored stored) {
    return "{\"metadata\":{\"name\":\"%s\",\"rev\":%d},\"spec\":%s}"
        .formatted(stored.name(), stored.revision(), stored.spec());
  }

  private static void send(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = withUnreadableBytes(body.getBytes(StandardCharsets.UTF_8));
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  @Override
  public void close() {
    server.stop(0);
  }

  /** Replaces {@link #UNREADABLE} with as many bytes that are no UTF-8 text. */
  private static byte[] withUnreadableBytes(byte[] bytes) {
    byte[] marker = UNREADABLE.getBytes(StandardCharsets.UTF_8);
    for (int at = 0; at + marker.length <= bytes.length; at++) {
      if (Arrays.equals(bytes, at, at + marker.length, marker, 0, marker.length)) {
        Arrays.fill(bytes, at, at + marker.length, (byte) 0xFF);
      }
    }
    return bytes;
  }
}
