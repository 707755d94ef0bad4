package org.limpetring.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetring.standin.StandinSettings.Engine;
import org.limpetring.standin.StandinSettings.Host;
import org.limpetring.standin.StandinSettings.Platform;
import org.limpetring.standin.StandinSettings.Socket;
import org.limpetring.standin.http.Json;

final class StandinTest {

  private static final String STREAM =
      "{\"messages\":[{\"content\":\"wheel\"}],\"max_tokens\":4,\"stream\":true,\"user\":\"r1\"}";

  private final HttpClient client = HttpClient.newHttpClient();
  private int port;
  private Standin standin;

  @BeforeEach
  void start() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    standin = Standin.start(settings(port));
  }

  @AfterEach
  void stop() {
    standin.close();
  }

  @Test
  void objectsAreWrittenConditionally() throws Exception {
    String object = "http://127.0.7.1:" + port + "/v1/object?key=tables/routes&expected=";
    assertThat(put(object + 0, "a").statusCode()).isEqualTo(200);
    assertThat(put(object + 0, "b").statusCode()).isEqualTo(409);
    assertThat(json(get(object + 0)).path("value").asText()).isEqualTo("a");
    JsonNode watched = json(get("http://127.0.7.1:" + port + "/v1/watch?prefix=tables&after=0"));
    assertThat(watched.path("changes").get(0).path("key").asText()).isEqualTo("tables/routes");
  }

  @Test
  void writeTakesEffectDespiteLostResponse() throws Exception {
    injectFault("platform", "lostAnswer");
    String object = "http://127.0.7.1:" + port + "/v1/object?key=k&expected=0";
    assertThrows(IOException.class, () -> put(object, "a"));
    assertThat(json(get(object)).path("value").asText()).isEqualTo("a");
  }

  @Test
  void groupServesOnlyWhenAllMembersAreAlive() throws Exception {
    join("a", 1);
    assertThat(stream("q1").statusCode()).isEqualTo(503);
    join("b", 1);
    await(() -> report("a").path("ready").asBoolean());
    HttpResponse<String> response = stream("q2");
    assertThat(response.body()).endsWith("data: [DONE]\n\n");
    assertThat(response.headers().firstValue("X-Limpet-Request")).hasValue("q2");

    injectFault("b", "kill");
    assertThat(report("a").path("ready").asBoolean()).isFalse();
    injectFault("b", "heal");
    assertThat(report("b").path("incarnation").asText()).isEqualTo("b#2");
    assertThat(stream("q3").headers().firstValue("X-Limpet-Not-Run")).hasValue("true");
    JsonNode entries = json(get(control() + "/log")).path("entries");
    assertThat(entries.findValuesAsText("state"))
        .containsExactly("REFUSED", "DONE", "REFUSED")
        .inOrder();
  }

  @Test
  void staleOrderIsRejectedUnlessFencingIsIgnored() throws Exception {
    join("a", 5);
    assertThat(order("a", 4).statusCode()).isEqualTo(409);
    injectFault("a", "ignoreFencing");
    assertThat(order("a", 4).statusCode()).isEqualTo(200);
  }

  @Test
  void responsesCanBeCrossedAndTruncated() throws Exception {
    join("a", 1);
    join("b", 1);
    await(() -> report("a").path("ready").asBoolean());
    assertThat(stream("q1").statusCode()).isEqualTo(200);
    injectFault("a", "crossedAnswer");
    assertThat(stream("q2").headers().firstValue("X-Limpet-Request")).hasValue("q1");
    injectFault("a", "truncate");
    assertThat(stream("q3").body()).doesNotContain("[DONE]");
  }

  @Test
  void silencedConnectionTimesOutWhileNewOneWorks() throws Exception {
    assertThat(report("a").path("host").asText()).isEqualTo("a");
    injectFault("a", "silent");
    HttpRequest request = request("http://127.0.7.2:" + port + "/control/report").build();
    assertThrows(
        IOException.class, () -> client.send(request, HttpResponse.BodyHandlers.ofString()));
    assertThat(report("a").path("host").asText()).isEqualTo("a");
  }

  private static StandinSettings settings(int port) {
    Platform platform =
        new Platform(
            "127.0.7.1",
            port,
            0,
            List.of(
                new Host("a", "127.0.7.2", "north", "north-1", 4),
                new Host("b", "127.0.7.3", "north", "north-1", 4)),
            2,
            List.of());
    return new StandinSettings(
        new Socket("127.0.7.9", port),
        platform,
        List.of(
            new Engine("a", "127.0.7.2", port, true, 10, 10, 4, 2, 1, 1),
            new Engine("b", "127.0.7.3", port, true, 10, 10, 4, 2, 1, 1)),
        List.of());
  }

  private String control() {
    return "http://127.0.7.9:" + port;
  }

  private void injectFault(String target, String kind) throws Exception {
    String body = "{\"target\":\"" + target + "\",\"fault\":\"" + kind + "\"}";
    assertThat(post(control() + "/faults", body).statusCode()).isEqualTo(200);
  }

  private void join(String host, long epoch) throws Exception {
    assertThat(order(host, epoch).statusCode()).isEqualTo(200);
  }

  private HttpResponse<String> order(String host, long epoch) throws Exception {
    String body =
        "{\"kind\":\"JOIN\",\"group\":\"g\",\"model\":\"m\",\"members\":[\"a\",\"b\"],\"epoch\":";
    return post(address(host) + "/control/order", body + epoch + "}");
  }

  private HttpResponse<String> stream(String id) throws Exception {
    HttpRequest request =
        request(address("a") + "/v1/chat/completions")
            .header("X-Limpet-Request", id)
            .POST(HttpRequest.BodyPublishers.ofString(STREAM))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private JsonNode report(String host) {
    try {
      return json(get(address(host) + "/control/report"));
    } catch (Exception failure) {
      throw new IllegalStateException(failure);
    }
  }

  private String address(String host) {
    return "http://127.0.7." + (host.equals("a") ? 2 : 3) + ":" + port;
  }

  private HttpResponse<String> get(String uri) throws Exception {
    return client.send(request(uri).build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> put(String uri, String body) throws Exception {
    HttpRequest request = request(uri).PUT(HttpRequest.BodyPublishers.ofString(body)).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> post(String uri, String body) throws Exception {
    HttpRequest request = request(uri).POST(HttpRequest.BodyPublishers.ofString(body)).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static HttpRequest.Builder request(String uri) {
    return HttpRequest.newBuilder(URI.create(uri)).timeout(Duration.ofSeconds(2));
  }

  private static JsonNode json(HttpResponse<String> response) throws IOException {
    return Json.parse(response.body().getBytes(StandardCharsets.UTF_8));
  }

  private static void await(BooleanSupplier condition) {
    Awaitility.await().atMost(Duration.ofSeconds(5)).until(condition::getAsBoolean);
  }
}
