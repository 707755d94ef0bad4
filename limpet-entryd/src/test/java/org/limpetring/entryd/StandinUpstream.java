package org.limpetring.entryd;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;

/**
 * Stand-in for a model engine or a plain service, by the published calls; lists itself in the
 * store, obeys orders, and misbehaves on request.
 */
public final class StandinUpstream implements AutoCloseable {

  /** What the next request meets. */
  public enum Fault {
    NONE,
    BREAK_AFTER_ONE_EVENT,
    BREAK_INSIDE_AN_EVENT,
    RESET_AFTER_READING,
    NOT_EXECUTED,
    NO_SEAL,
    OTHER_REQUESTS_ANSWER_FIRST,
    SHORT_BODY
  }

  /** Whole stream of an engine. */
  public static final String WHOLE =
      "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\n";

  private static final int EVENTS = 5;

  /** Its id in the list. */
  public final String id;

  private final String service;
  private final boolean isEngine;
  private final StandinPlatform store;
  private final ServerSocket socket;
  private final AtomicReference<Fault> fault;
  private final IntUnaryOperator listedPort;
  private String group = "null";
  private Consumer<String> onJoin = order -> {};

  /** Request lines and headers as received. */
  final List<Map<String, String>> received = new CopyOnWriteArrayList<>();

  /** Headers of the requests that began to run. */
  public final List<Map<String, String>> ran = new CopyOnWriteArrayList<>();

  /** Upstream that shares its fault with others: whoever is asked first misbehaves, once. */
  StandinUpstream(
      String id,
      String service,
      boolean isEngine,
      StandinPlatform store,
      AtomicReference<Fault> fault)
      throws IOException {
    this(id, service, isEngine, store, fault, port -> port);
  }

  /** Upstream that lists another port than its own, such as a proxy's. */
  public StandinUpstream(
      String id,
      String service,
      boolean isEngine,
      StandinPlatform store,
      AtomicReference<Fault> fault,
      IntUnaryOperator listedPort)
      throws IOException {
    this.fault = fault;
    this.id = id;
    this.service = service;
    this.isEngine = isEngine;
    this.store = store;
    this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.listedPort = listedPort;
    Thread acceptor = new Thread(this::accept, id);
    acceptor.setDaemon(true);
    acceptor.start();
    list("ready");
  }

  /** Lists the upstream in the store. */
  synchronized void list(String state) {
    store.put("servers", id, entry(state));
  }

  private String entry(String state) {
    String engine =
        isEngine
            ? ",\"domain\":\"d\",\"staged\":[\"m\"],\"models\":[{\"name\":\"m\",\"version\":1}],\"group\":"
                + group
            : "";
    return "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\",\"slots\":4,\"state\":\"%s\",\"cold_left_ms\":0,\"born\":7%s}"
        .formatted(service, listedPort.applyAsInt(socket.getLocalPort()), state, engine);
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        Thread handler = new Thread(() -> serve(connection), id + "-connection");
        handler.setDaemon(true);
        handler.start();
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
      OutputStream out = connection.getOutputStream();
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        Map<String, String> request = new HashMap<>();
        request.put("line", line);
        for (String header = in.readLine(); !header.isEmpty(); header = in.readLine()) {
          int colon = header.indexOf(':');
          request.put(
              header.substring(0, colon).toLowerCase(Locale.ROOT),
              header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(request.getOrDefault("content-length", "0"));
        char[] body = new char[length];
        int read = 0;
        while (read < length) {
          read += in.read(body, read, length - read);
        }
        request.put("body", new String(body));
        if (!answer(request, connection, out)) {
          return;
        }
      }
    } catch (IOException closed) {
      // the other side went away
    }
  }

  private boolean answer(Map<String, String> request, Socket connection, OutputStream out)
      throws IOException {
    String line = request.getOrDefault("line", "");
    if (line.startsWith("POST /api/order ")) {
      obey(request.getOrDefault("body", ""));
      send(out, 202, "", "{}");
      return true;
    }
    if (line.startsWith("GET /api/report ")) {
      send(out, 200, "", entry("ready"));
      return true;
    }
    received.add(request);
    Fault now = fault.getAndSet(Fault.NONE);
    if (now != Fault.NOT_EXECUTED) {
      ran.add(request);
    }
    String echo = "X-Limpetring-Request-Id: " + request.get("x-limpetring-request-id") + "\r\n";
    String seal = "X-Limpetring-Server-Seal: seal-" + id + "\r\n";
    switch (now) {
      case RESET_AFTER_READING -> {
        connection.setSoLinger(true, 0);
        return false;
      }
      case NOT_EXECUTED -> {
        send(out, 503, echo + "X-Limpetring-Not-Executed: 1\r\n", "");
        return true;
      }
      case NO_SEAL -> {
        send(out, 200, echo, "unsigned");
        return true;
      }
      case SHORT_BODY -> {
        out.write(
            ("HTTP/1.1 200 OK\r\n" + echo + seal + "Content-Length: 50\r\n\r\nshort")
                .getBytes(StandardCharsets.ISO_8859_1));
        return false;
      }
      case OTHER_REQUESTS_ANSWER_FIRST ->
          send(out, 200, "X-Limpetring-Request-Id: another\r\n" + seal, "not yours");
      default -> {}
    }
    if (!isEngine) {
      send(out, 200, echo + seal, "answer of " + id);
      return true;
    }
    return stream(request, echo + seal, now, out);
  }

  private boolean stream(Map<String, String> request, String headers, Fault now, OutputStream out)
      throws IOException {
    int first = Integer.parseInt(request.getOrDefault("last-event-id", "0")) + 1;
    write(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + headers
            + "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = first; event <= EVENTS; event++) {
      String text = "id: " + event + "\ndata: e" + event + "\n\n";
      if (now == Fault.BREAK_INSIDE_AN_EVENT && event == first + 1) {
        chunk(out, text.substring(0, 5));
        return false;
      }
      chunk(out, text);
      if (now == Fault.BREAK_AFTER_ONE_EVENT) {
        return false;
      }
    }
    write(out, "0\r\n\r\n");
    return true;
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void send(OutputStream out, int status, String headers, String body)
      throws IOException {
    write(
        out,
        "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s"
            .formatted(status, headers, body.length(), body));
  }

  /** Has {@code check} look at each order to join before it is obeyed. */
  public void checkJoins(Consumer<String> check) {
    onJoin = check;
  }

  /** Its group as it reports it, JSON or {@code null}. */
  public synchronized String group() {
    return group;
  }

  private void obey(String order) {
    if (order.contains("\"op\":\"join\"")) {
      onJoin.accept(value(order, "group"));
    }
    apply(order);
  }

  private synchronized void apply(String order) {
    String name = value(order, "group");
    if (order.contains("\"op\":\"join\"")) {
      String members = order.substring(order.indexOf('[') + 1, order.indexOf(']'));
      int rank = List.of(members.replace("\"", "").split(",", -1)).indexOf(id);
      group = membership(name, value(order, "epoch"), rank, "ready");
    } else if (order.contains("\"op\":\"open\"")) {
      group = membership(name, value(order, "epoch"), 0, "open");
    } else if (order.contains("\"op\":\"leave\"")) {
      group = "null";
    }
    list("ready");
  }

  private static String membership(String name, String epoch, int rank, String state) {
    return "{\"name\":\"%s\",\"epoch\":%s,\"rank\":%d,\"state\":\"%s\"}"
        .formatted(name, epoch, rank, state);
  }

  /** Value of a field of flat JSON, or an empty text. */
  public static String value(String json, String field) {
    int at = json.indexOf("\"" + field + "\":");
    if (at < 0) {
      return "";
    }
    String rest = json.substring(at + field.length() + 3);
    return rest.split("[,}]", -1)[0].replace("\"", "");
  }

  @Override
  public void close() throws IOException {
    socket.close();
    store.remove("servers", id);
  }
}
