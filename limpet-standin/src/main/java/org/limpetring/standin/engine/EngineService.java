package org.limpetring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.standin.http.Exchange;
import org.limpetring.standin.http.Json;
import org.limpetring.standin.http.Service;

/** HTTP face of one engine: control calls, KV cache, and requests passed on to execution. */
public final class EngineService implements Service {

  private static final String KV_PATH = "/control/kv/";

  private final Engine engine;
  private final ChatExecution execution;
  private final Map<String, byte[]> kvCaches = new ConcurrentHashMap<>();

  EngineService(Engine engine, ChatExecution execution) {
    this.engine = engine;
    this.execution = execution;
  }

  /** Forgets all, as a new process would. */
  public void restart() {
    engine.restart();
    kvCaches.clear();
  }

  /** Makes the engine cold without a new incarnation. */
  public void chill() {
    engine.chill();
  }

  @Override
  public void handle(Exchange exchange) throws IOException {
    engine.host().gate(exchange);
    String path = exchange.path();
    if (path.startsWith(KV_PATH)) {
      kvCache(exchange, path.substring(KV_PATH.length()));
      return;
    }
    switch (path) {
      case "/control/report" -> report(exchange);
      case "/control/order" -> order(exchange);
      case "/control/cancel" -> cancel(exchange);
      case "/control/cache-events" ->
          exchange.answer(200, new CacheEvents(List.of(), exchange.queryLong("after", 0)));
      case "/v1/chat/completions" -> execution.execute(exchange);
      default -> exchange.answer(404, new Refusal("no such path"));
    }
  }

  private void report(Exchange exchange) throws IOException {
    engine.host().work(exchange, 0);
    exchange.answer(200, engine.report());
  }

  private void order(Exchange exchange) throws IOException {
    Order order = Json.read(exchange.body(), Order.class);
    engine.host().work(exchange, 0);
    Long highestEpoch = engine.obey(order);
    if (engine.host().losesAnswer()) {
      exchange.abort();
    } else if (highestEpoch == null) {
      exchange.answer(200, new Taken(true));
    } else {
      exchange.answer(409, new Fenced(highestEpoch));
    }
  }

  private void cancel(Exchange exchange) throws IOException {
    JsonNode request = Json.parse(exchange.body()).path("request");
    execution.cancel(request.asText());
    exchange.answer(200, new Taken(true));
  }

  private void kvCache(Exchange exchange, String request) throws IOException {
    if (exchange.method().equals("PUT")) {
      kvCaches.put(request, exchange.body());
      exchange.answer(200, new Taken(true));
      return;
    }
    byte @Nullable [] cache = kvCaches.get(request);
    if (cache == null) {
      exchange.answer(404, new Refusal("no such request"));
    } else {
      exchange.answer(200, "application/octet-stream", cache);
    }
  }

  private record Taken(boolean taken) {}

  private record Fenced(long highestEpoch) {}

  private record Refusal(String error) {}

  private record CacheEvents(List<String> events, long next) {}
}
