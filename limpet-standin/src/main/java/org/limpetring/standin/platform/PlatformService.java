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

/** Serves the object API, the list of hosts and the weights over HTTP. */
public final class PlatformService implements Service {

  private static final long MAX_WAIT_MS = 60_000;

  private final ObjectStore store;
  private final HostCatalogue hosts;
  private final WeightsAnswer weights;
  private final SimulatedHost platform;
  private final AtomicLong reads = new AtomicLong();
  private final AtomicLong writes = new AtomicLong();

  /** Puts an HTTP face on {@code store}; faults of {@code platform} apply to each call. */
  public PlatformService(
      ObjectStore store, HostCatalogue hosts, WeightsAnswer weights, SimulatedHost platform) {
    this.store = store;
    this.hosts = hosts;
    this.weights = weights;
    this.platform = platform;
  }

  /** Calls so far; a waiting watch counts as one. */
  public CallCounts calls() {
    return new CallCounts(reads.get(), writes.get());
  }

  @Override
  public void handle(Exchange exchange) throws IOException {
    boolean write = !exchange.method().equals("GET");
    (write ? writes : reads).incrementAndGet();
    platform.work(exchange, 0);
    if (platform.down()) {
      exchange.answer(503, new Refused("down"));
      return;
    }
    switch (exchange.path()) {
      case "/v1/object" -> object(exchange);
      case "/v1/objects" -> objects(exchange);
      case "/v1/watch" -> watch(exchange);
      case "/v1/hosts" -> exchange.answer(200, new HostsAnswer(hosts.entries()));
      case "/v1/weights" -> exchange.answer(200, weights);
      default -> exchange.answer(404, new Refused("no such call"));
    }
  }

  private void object(Exchange exchange) throws IOException {
    String key = exchange.query("key");
    if (key == null || key.isEmpty()) {
      exchange.answer(400, new Refused("key is missing"));
      return;
    }
    long expected = exchange.queryLong("expected", 0);
    switch (exchange.method()) {
      case "GET" -> read(exchange, key);
      case "PUT" ->
          written(
              exchange,
              store.put(key, new String(exchange.body(), StandardCharsets.UTF_8), expected));
      case "DELETE" -> written(exchange, store.delete(key, expected));
      default -> exchange.answer(405, new Refused("no such method"));
    }
  }

  private void read(Exchange exchange, String key) throws IOException {
    ReadResult result = store.get(key);
    if (result instanceof ReadResult.Found found) {
      StoredObject object = found.object();
      exchange.answer(
          200, new ObjectAnswer(object.key(), object.value(), object.version(), object.version()));
    } else if (result instanceof ReadResult.Missing missing) {
      exchange.answer(404, new MissingAnswer(missing.revision()));
    } else {
      exchange.answer(503, new Refused("unavailable"));
    }
  }

  private void written(Exchange exchange, WriteResult result) throws IOException {
    if (platform.losesAnswer()) {
      exchange.abort();
    } else if (result instanceof WriteResult.Written written) {
      exchange.answer(200, new VersionAnswer(written.version()));
    } else if (result instanceof WriteResult.Conflict conflict) {
      exchange.answer(409, new VersionAnswer(conflict.actualVersion()));
    } else {
      exchange.answer(503, new Refused("refused"));
    }
  }

  private void objects(Exchange exchange) throws IOException {
    ListResult result = store.list(Objects.requireNonNullElse(exchange.query("prefix"), ""));
    if (result instanceof ListResult.Listed listed) {
      exchange.answer(200, listed);
    } else {
      exchange.answer(503, new Refused("unavailable"));
    }
  }

  private void watch(Exchange exchange) throws IOException {
    WatchResult result =
        store.watch(
            Objects.requireNonNullElse(exchange.query("prefix"), ""),
            exchange.queryLong("after", 0),
            Math.min(MAX_WAIT_MS, exchange.queryLong("waitMs", 0)));
    platform.gate(exchange);
    if (platform.down()) {
      exchange.answer(503, new Refused("down"));
    } else if (result instanceof WatchResult.Changes changes) {
      exchange.answer(200, changes);
    } else if (result instanceof WatchResult.Compacted compacted) {
      exchange.answer(410, new OldestAnswer(compacted.oldestRevision()));
    } else {
      exchange.answer(503, new Refused("unavailable"));
    }
  }

  /** Calls by kind. */
  public record CallCounts(long reads, long writes) {}

  /** Body of {@code GET /v1/weights}. */
  public record WeightsAnswer(int loadsAtOnce, List<ModelWeights> models) {}

  private record HostsAnswer(List<HostCatalogue.Entry> hosts) {}

  private record ObjectAnswer(String key, String value, long version, long revision) {}

  private record MissingAnswer(long revision) {}

  private record VersionAnswer(long version) {}

  private record OldestAnswer(long oldest) {}

  private record Refused(String error) {}
}
