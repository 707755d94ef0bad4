package org.limpetring.standin.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetring.standin.host.SimulatedHost;
import org.limpetring.standin.http.Exchange;
import org.limpetring.standin.http.Service;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WeightStore.ModelWeights;
import org.limpetring.store.WriteResult;

/** HTTP API of the platform: objects, host list and weights. */
public final class PlatformService implements Service {

  private static final long MAX_WAIT_MS = 60_000;

  private final ObjectStore store;
  private final HostCatalogue hosts;
  private final WeightsResponse weights;
  private final SimulatedHost platform;
  private final AtomicLong reads = new AtomicLong();
  private final AtomicLong writes = new AtomicLong();

  /** Serves {@code store} over HTTP; the faults of {@code platform} apply to each call. */
  public PlatformService(
      ObjectStore store, HostCatalogue hosts, WeightsResponse weights, SimulatedHost platform) {
    this.store = store;
    this.hosts = hosts;
    this.weights = weights;
    this.platform = platform;
  }

  /** Number of calls so far; a watch counts as one read, however long it waits. */
  public CallCounts calls() {
    return new CallCounts(reads.get(), writes.get());
  }

  @Override
  public void handle(Exchange exchange) throws IOException {
    boolean isWrite = !exchange.method().equals("GET");
    (isWrite ? writes : reads).incrementAndGet();
    platform.simulateWork(exchange, 0);
    if (platform.down()) {
      exchange.respond(503, new ErrorResponse("down"));
      return;
    }
    switch (exchange.path()) {
      case "/v1/object" -> handleObject(exchange);
      case "/v1/objects" -> handleList(exchange);
      case "/v1/watch" -> handleWatch(exchange);
      case "/v1/hosts" -> exchange.respond(200, new HostsResponse(hosts.entries()));
      case "/v1/weights" -> exchange.respond(200, weights);
      default -> exchange.respond(404, new ErrorResponse("no such call"));
    }
  }

  private void handleObject(Exchange exchange) throws IOException {
    String key = exchange.queryParameter("key");
    if (key == null || key.isEmpty()) {
      exchange.respond(400, new ErrorResponse("key is missing"));
      return;
    }
    long expected = exchange.queryParameterAsLong("expected", 0);
    switch (exchange.method()) {
      case "GET" -> handleRead(exchange, key);
      case "PUT" ->
          sendWriteResult(
              exchange,
              store.put(key, new String(exchange.body(), StandardCharsets.UTF_8), expected));
      case "DELETE" -> sendWriteResult(exchange, store.delete(key, expected));
      default -> exchange.respond(405, new ErrorResponse("no such method"));
    }
  }

  private void handleRead(Exchange exchange, String key) throws IOException {
    ReadResult result = store.get(key);
    if (result instanceof ReadResult.Found found) {
      StoredObject object = found.object();
      exchange.respond(
          200,
          new ObjectResponse(object.key(), object.value(), object.version(), object.version()));
    } else if (result instanceof ReadResult.Missing missing) {
      exchange.respond(404, new MissingResponse(missing.revision()));
    } else {
      exchange.respond(503, new ErrorResponse("unavailable"));
    }
  }

  private void sendWriteResult(Exchange exchange, WriteResult result) throws IOException {
    if (platform.takeLostResponse()) {
      exchange.abort();
    } else if (result instanceof WriteResult.Written written) {
      exchange.respond(200, new VersionResponse(written.version()));
    } else if (result instanceof WriteResult.Conflict conflict) {
      exchange.respond(409, new VersionResponse(conflict.actualVersion()));
    } else {
      exchange.respond(503, new ErrorResponse("refused"));
    }
  }

  private void handleList(Exchange exchange) throws IOException {
    ListResult result =
        store.list(Objects.requireNonNullElse(exchange.queryParameter("prefix"), ""));
    if (result instanceof ListResult.Listed listed) {
      exchange.respond(200, listed);
    } else {
      exchange.respond(503, new ErrorResponse("unavailable"));
    }
  }

  private void handleWatch(Exchange exchange) throws IOException {
    WatchResult result =
        store.watch(
            Objects.requireNonNullElse(exchange.queryParameter("prefix"), ""),
            exchange.queryParameterAsLong("after", 0),
            Math.min(MAX_WAIT_MS, exchange.queryParameterAsLong("waitMs", 0)));
    platform.awaitReachable(exchange);
    if (platform.down()) {
      exchange.respond(503, new ErrorResponse("down"));
    } else if (result instanceof WatchResult.Changes changes) {
      exchange.respond(200, changes);
    } else if (result instanceof WatchResult.Compacted compacted) {
      exchange.respond(410, new OldestResponse(compacted.oldestRevision()));
    } else {
      exchange.respond(503, new ErrorResponse("unavailable"));
    }
  }

  /** Number of read and write calls. */
  public record CallCounts(long reads, long writes) {}

  /** Body of {@code GET /v1/weights}. */
  public record WeightsResponse(int loadsAtOnce, List<ModelWeights> models) {}

  private record HostsResponse(List<HostCatalogue.Entry> hosts) {}

  private record ObjectResponse(String key, String value, long version, long revision) {}

  private record MissingResponse(long revision) {}

  private record VersionResponse(long version) {}

  private record OldestResponse(long oldest) {}

  private record ErrorResponse(String error) {}
}
