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

/** HTTP API of one engine: control calls, KV cache and chat completions. */
public final class EngineService implements Service {

  private static final String KV_PATH = "/control/kv/";

  private final Engine engine;
  private final ChatExecution execution;
  private final Map<String, byte[]> kvCaches = new ConcurrentHashMap<>();

  EngineService(Engine engine, ChatExecution execution) {
    this.engine = engine;
    this.execution = execution;
  }

  /** Starts a new incarnation with empty state, as after a process restart. */
  public void restart() {
    engine.restart();
    kvCaches.clear();
  }

  /** Makes the engine cold, without a new incarnation. */
  public void makeCold() {
    engine.makeCold();
  }

  @Override
  public void handle(Exchange exchange) throws IOException {
    engine.host().awaitReachable(exchange);
    String path = exchange.path();
    if (path.startsWith(KV_PATH)) {
      handleKvCache(exchange, path.substring(KV_PATH.length()));
      return;
    }
    switch (path) {
      case "/control/report" -> sendReport(exchange);
      case "/control/order" -> handleOrder(exchange);
      case "/control/cancel" -> handleCancel(exchange);
      case "/control/cache-events" ->
          exchange.respond(
              200, new CacheEvents(List.of(), exchange.queryParameterAsLong("after", 0)));
      case "/v1/chat/completions" -> execution.execute(exchange);
      default -> exchange.respond(404, new ErrorResponse("no such path"));
    }
  }

  private void sendReport(Exchange exchange) throws IOException {
    engine.host().simulateWork(exchange, 0);
    exchange.respond(200, engine.report());
  }

  private void handleOrder(Exchange exchange) throws IOException {
    Order order = Json.read(exchange.body(), Order.class);
    engine.host().simulateWork(exchange, 0);
    Long highestEpoch = engine.applyOrder(order);
    if (engine.host().takeLostResponse()) {
      exchange.abort();
    } else if (highestEpoch == null) {
      exchange.respond(200, new AcceptedResponse(true));
    } else {
      exchange.respond(409, new FencedResponse(highestEpoch));
    }
  }

  private void handleCancel(Exchange exchange) throws IOException {
    JsonNode request = Json.parse(exchange.body()).path("request");
    execution.cancel(request.asText());
    exchange.respond(200, new AcceptedResponse(true));
  }

  private void handleKvCache(Exchange exchange, String request) throws IOException {
    if (exchange.method().equals("PUT")) {
      kvCaches.put(request, exchange.body());
      exchange.respond(200, new AcceptedResponse(true));
      return;
    }
    byte @Nullable [] cache = kvCaches.get(request);
    if (cache == null) {
      exchange.respond(404, new ErrorResponse("no such request"));
    } else {
      exchange.respond(200, "application/octet-stream", cache);
    }
  }

  private record AcceptedResponse(boolean taken) {}

  private record FencedResponse(long highestEpoch) {}

  private record ErrorResponse(String error) {}

  private record CacheEvents(List<String> events, long next) {}
}
