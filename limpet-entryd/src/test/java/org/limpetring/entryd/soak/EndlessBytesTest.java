package org.limpetring.entryd.soak;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.limpetring.entryd.StandinConfig;
import org.limpetring.entryd.StandinPlatform;
import org.limpetring.entryd.StandinUpstream;
import org.limpetring.entryd.StandinUpstream.Fault;

/** Upstreams send bytes without end to a daemon in a process of its own, with a small heap. */
final class EndlessBytesTest {

  private static final int SLOTS = 150;
  private static final Duration LOAD_DURATION = Duration.ofSeconds(8);

  /** Callers give up a request that is not read after this time. */
  private static final Duration CALLER_PATIENCE = Duration.ofSeconds(1);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<StandinUpstream> engines = new ArrayList<>();
  private final AtomicInteger requestCount = new AtomicInteger();
  private StandinPlatform store;
  private StandinUpstream plain;
  private DaemonProcess daemon;

  @BeforeEach
  void start(@TempDir Path directory) throws IOException {
    store = new StandinPlatform();
    store.put("config", "main", StandinConfig.json(3, "k", SLOTS, 3_000));
    AtomicReference<Fault> none = new AtomicReference<>(Fault.NONE);
    for (String id : List.of("i-1", "i-2", "i-3", "i-4")) {
      StandinUpstream engine = new StandinUpstream(id, "engines", true, store, none);
      engine.setSlots(SLOTS);
      engines.add(engine);
    }
    plain = new StandinUpstream("p-1", "plain", false, store, none);
    daemon = new DaemonProcess("d1", directory, store.address().getPort());
    await()
        .atMost(Duration.ofSeconds(20))
        .ignoreExceptions() // connections fail until the daemon listens
        .until(() -> status(send("/s/x", Duration.ofSeconds(2))) == 200);
  }

  @AfterEach
  void stop() throws IOException {
    daemon.close();
    for (StandinUpstream engine : engines) {
      engine.close();
    }
    plain.close();
    store.close();
  }

  /** LOST: events without end filled the heap; other callers' requests ended with the daemon. */
  @Test
  void eventsWithoutEndDoNotDelayOtherCallers() throws Exception {
    for (StandinUpstream engine : engines) {
      engine.setLaterFaults(Collections.nCopies(100_000, Fault.SLOW_ENDLESS_BODY));
    }
    long endNs = System.nanoTime() + LOAD_DURATION.toNanos();
    for (int i = 0; i < 2 * SLOTS; i++) {
      daemonThread(() -> sendUntil(endNs));
    }
    int answered = 0;
    while (System.nanoTime() < endNs) {
      assertThat(status(send("/r/x", CALLER_PATIENCE))).isEqualTo(200);
      answered++;
    }
    assertThat(answered).isGreaterThan(0);
    assertThat(daemon.isRunning()).isTrue();
  }

  private static void daemonThread(Runnable work) {
    Thread thread = new Thread(work, "load");
    thread.setDaemon(true);
    thread.start();
  }

  private void sendUntil(long endNs) {
    while (System.nanoTime() < endNs) {
      var unused = status(send("/s/x", Duration.ofSeconds(4)));
    }
  }

  /** Sends a request; returns its status, or 0 if there was no complete response in time. */
  private CompletableFuture<Integer> send(String path, Duration patience) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.callerPort() + path))
            .header("X-Limpetring-Request-Id", "q" + requestCount.getAndIncrement())
            .header("X-Limpetring-Request-Deadline", "3000")
            .header("X-Limpetring-Key", "k")
            .header("X-Limpetring-Model", "m")
            .timeout(patience)
            .POST(BodyPublishers.ofString("body"))
            .build();
    return client
        .sendAsync(request, BodyHandlers.ofString())
        .handle((response, failure) -> failure == null ? response.statusCode() : 0);
  }

  private static int status(CompletableFuture<Integer> response) {
    return response.join();
  }
}
