package org.limpetring.store.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetring.base.Clock;
import org.limpetring.base.Metrics;
import org.limpetring.store.HostList;
import org.limpetring.store.ListResult;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WeightStore;
import org.limpetring.store.WriteResult;

class HttpObjectStoreTest {

  private static final long CALL_TIMEOUT_MS = 400;

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private final List<String> calls = Collections.synchronizedList(new ArrayList<>());
  private volatile int status = 200;
  private volatile String body = "";
  private HttpServer server = newServer();
  private HttpPlatformClient client = newClient(1);

  @BeforeEach
  void open() {
    server.createContext("/", this::respond);
    server.start();
    client = newClient(server.getAddress().getPort());
  }

  @AfterEach
  void close() {
    client.close();
    server.stop(0);
  }

  @Test
  void wellFormedResponsesAreParsed() {
    HttpObjectStore store = new HttpObjectStore(client);
    setResponse(200, "{\"key\":\"a/ü\",\"value\":\"v\",\"version\":3,\"revision\":9}");
    assertThat(store.get("a/ü")).isEqualTo(new ReadResult.Found(new StoredObject("a/ü", "v", 3)));
    setResponse(404, "{\"revision\":9}");
    assertThat(store.get("a")).isEqualTo(new ReadResult.Missing(9));
    setResponse(200, "{\"version\":10}");
    assertThat(store.put("a", "x ü", 3)).isEqualTo(new WriteResult.Written(10));
    setResponse(409, "{\"version\":4}");
    assertThat(store.delete("a", 3)).isEqualTo(new WriteResult.Conflict(4));
    setResponse(410, "{\"oldest\":7}");
    assertThat(store.watch("a", 3, 50)).isEqualTo(new WatchResult.Compacted(7));
    assertThat(calls)
        .containsExactly(
            "GET /v1/object?key=a%2F%C3%BC []",
            "GET /v1/object?key=a []",
            "PUT /v1/object?key=a&expected=3 [x ü]",
            "DELETE /v1/object?key=a&expected=3 []",
            "GET /v1/watch?prefix=a&after=3&waitMs=50 []")
        .inOrder();
  }

  @Test
  void malformedResponsesAreNeverAccepted() {
    HttpObjectStore store = new HttpObjectStore(client);
    for (int code : List.of(200, 204, 302, 404, 409, 410, 500)) {
      for (String text :
          List.of(
              "",
              "null",
              "[]",
              "{",
              "{\"version\":\"3\",\"revision\":{},\"oldest\":[]}",
              "{\"version\":-1,\"revision\":1.5,\"oldest\":1e40}",
              "{\"key\":\"other\",\"value\":\"v\",\"revision\":null,\"objects\":[{}]}",
              "{\"objects\":{},\"changes\":[7],\"hosts\":[{\"host\":\"\"}],\"models\":7}")) {
        setResponse(code, text);
        String description = code + " " + text;
        assertWithMessage(description)
            .that(store.get("k"))
            .isInstanceOf(ReadResult.Unavailable.class);
        assertWithMessage(description)
            .that(store.list("k"))
            .isInstanceOf(ListResult.Unavailable.class);
        assertWithMessage(description)
            .that(store.watch("k", 1, 10))
            .isInstanceOf(WatchResult.Unavailable.class);
        assertWithMessage(description)
            .that(new HttpHostList(client).read())
            .isInstanceOf(HostList.Result.Unavailable.class);
        assertWithMessage(description)
            .that(new HttpWeightStore(client).read())
            .isInstanceOf(WeightStore.Result.Unavailable.class);
        assertWithMessage(description)
            .that(store.put("k", "v", 1))
            .isInstanceOf(code == 404 ? WriteResult.Unavailable.class : WriteResult.Unknown.class);
      }
    }
  }

  @Test
  void refusedAndUnknownWritesAreDistinguished() throws Exception {
    HttpObjectStore store = new HttpObjectStore(client);
    setResponse(503, "");
    assertThat(store.put("k", "v", 1)).isInstanceOf(WriteResult.Unavailable.class);
    try (ServerSocket closingListener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        HttpPlatformClient clientOfClosingListener = newClient(closingListener.getLocalPort())) {
      Thread acceptor = new Thread(() -> closeConnections(closingListener));
      acceptor.start();
      assertThat(new HttpObjectStore(clientOfClosingListener).put("k", "v", 1))
          .isInstanceOf(WriteResult.Unknown.class);
    }
    server.stop(0);
    try (HttpPlatformClient clientOfStoppedServer = newClient(server.getAddress().getPort())) {
      assertThat(new HttpObjectStore(clientOfStoppedServer).put("k", "v", 1))
          .isInstanceOf(WriteResult.Unavailable.class);
    }
  }

  @Test
  void slowResponseEndsAtTheCallDeadline() throws Exception {
    double before = Metrics.PLATFORM_CALLS.labelValues("put", "unknown").get();
    try (ServerSocket slowListener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        HttpPlatformClient slowClient = newClient(slowListener.getLocalPort())) {
      Thread sender = new Thread(() -> sendSlowly(slowListener));
      sender.start();
      long startMs = Clock.system().nowMs();
      assertThat(new HttpObjectStore(slowClient).put("k", "v", 1))
          .isInstanceOf(WriteResult.Unknown.class);
      assertThat(Clock.system().nowMs() - startMs).isLessThan(3 * CALL_TIMEOUT_MS);
    }
    assertThat(Metrics.PLATFORM_CALLS.labelValues("put", "unknown").get()).isEqualTo(before + 1);
  }

  private void setResponse(int responseStatus, String responseBody) {
    status = responseStatus;
    body = responseBody;
  }

  private void respond(HttpExchange exchange) throws IOException {
    String request = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    calls.add(exchange.getRequestMethod() + " " + exchange.getRequestURI() + " [" + request + "]");
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  private static void closeConnections(ServerSocket listener) {
    try {
      while (true) {
        Socket socket = listener.accept();
        int unused = socket.getInputStream().read();
        socket.close();
      }
    } catch (IOException closed) {
      return;
    }
  }

  private static void sendSlowly(ServerSocket listener) {
    try (Socket socket = listener.accept()) {
      OutputStream out = socket.getOutputStream();
      out.write(
          "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      while (true) {
        out.write(' ');
        out.flush();
        java.util.concurrent.locks.LockSupport.parkNanos(20_000_000L);
      }
    } catch (IOException closed) {
      return;
    }
  }

  private static HttpServer newServer() {
    try {
      return HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
  }

  private static HttpPlatformClient newClient(int port) {
    return new HttpPlatformClient(
        new PlatformSettings("http://127.0.0.1:" + port, 300, CALL_TIMEOUT_MS, 300, 8));
  }
}
