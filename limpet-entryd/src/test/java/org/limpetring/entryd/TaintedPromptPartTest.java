package org.limpetring.entryd;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetring.entry.model.EntrySettings;
import org.limpetring.entryd.StandinUpstream.Fault;

/** Two daemons in front of engines that one prompt part crashes, whatever else a request holds. */
final class TaintedPromptPartTest {

  /** Bounds of the rule that the incident of issue 23 broke. */
  private static final int CRASHES_BEFORE_BOUND = 5;

  private static final long SETTLING_MS = 3_000;
  private static final int MAX_LATE_ARRIVALS = 3;

  private static final String SHARED_PART = "5c1e07a2:40,";
  private static final String TAINTED_PART = "deadbeef";
  private static final int ENGINES = 8;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<StandinUpstream> engines = new ArrayList<>();
  private final List<EntrySettings> daemons = new ArrayList<>();
  private StandinPlatform store;
  private int requestCount;

  @BeforeEach
  void start() throws IOException {
    store = new StandinPlatform();
    store.put("config", "main", StandinConfig.json(3, "k"));
    for (int i = 0; i < ENGINES; i++) {
      StandinUpstream engine =
          new StandinUpstream("i-" + i, "engines", true, store, new AtomicReference<>(Fault.NONE));
      engine.setDeadlyPart(TAINTED_PART);
      engines.add(engine);
    }
    for (String name : List.of("d1", "d2")) {
      daemons.add(EmbeddedDaemon.start(name, store));
    }
    for (EntrySettings daemon : daemons) {
      await()
          .atMost(Duration.ofSeconds(20))
          .ignoreExceptions() // connections fail until the daemon listens
          .until(() -> sendSound(daemon) == 200);
    }
  }

  @AfterEach
  void stop() throws IOException {
    for (StandinUpstream engine : engines) {
      engine.close();
    }
    store.close();
  }

  private int sendSound(EntrySettings daemon) throws IOException, InterruptedException {
    return send(daemon, SHARED_PART + "own" + requestCount + ":20");
  }

  private int sendTainted(EntrySettings daemon) throws IOException, InterruptedException {
    return send(daemon, SHARED_PART + TAINTED_PART + ":100,own" + requestCount + ":20");
  }

  private int send(EntrySettings daemon, String promptParts)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + daemon.callerAddress().getPort() + "/s/x"))
            .header("X-Limpetring-Request-Id", "q" + requestCount++)
            .header("X-Limpetring-Request-Deadline", "3000")
            .header("X-Limpetring-Key", "k")
            .header("X-Limpetring-Model", "m")
            .header("X-Limpetring-Prompt-Prefix", promptParts)
            .timeout(Duration.ofSeconds(10))
            .POST(BodyPublishers.ofString("body " + requestCount))
            .build();
    HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
    return response.statusCode();
  }

  private long taintedArrivals() {
    return engines.stream()
        .flatMap(engine -> engine.received.stream())
        .filter(
            request ->
                request.getOrDefault("x-limpetring-prompt-prefix", "").contains(TAINTED_PART))
        .count();
  }

  @Test
  void requestsWithDeadlyPromptPartKeepCrashingUpstreams() throws Exception {
    for (int i = 0; i < 3 * CRASHES_BEFORE_BOUND; i++) {
      if (taintedArrivals() >= CRASHES_BEFORE_BOUND) {
        break;
      }
      sendTainted(daemons.get(i % 2));
      TimeUnit.MILLISECONDS.sleep(250);
    }
    assertThat(taintedArrivals()).isAtLeast(2);
    TimeUnit.MILLISECONDS.sleep(SETTLING_MS);
    long before = taintedArrivals();
    int answered = 0;
    for (int i = 0; i < 12; i++) {
      sendTainted(daemons.get(i % 2));
      answered += sendSound(daemons.get(i % 2)) == 200 ? 1 : 0;
      TimeUnit.MILLISECONDS.sleep(100);
    }
    assertThat(taintedArrivals() - before).isAtMost(MAX_LATE_ARRIVALS);
    assertThat(answered).isEqualTo(12);
  }
}
