package org.limpetring.standin.plain;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetring.standin.StandinSettings;
import org.limpetring.standin.engine.Report;
import org.limpetring.standin.host.RunEntry;
import org.limpetring.standin.host.RunLog;
import org.limpetring.standin.host.SimulatedHost;
import org.limpetring.standin.http.Exchange;
import org.limpetring.standin.http.Json;
import org.limpetring.standin.http.Service;

/** Plain service with an idempotent stock query and a non-idempotent order call. */
public final class PlainService implements Service {

  private final StandinSettings.PlainService settings;
  private final SimulatedHost host;
  private final RunLog log;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger incarnation = new AtomicInteger(1);
  private final AtomicLong resultCount = new AtomicLong();
  private volatile CallResult lastResult = new CallResult("", "", 0);

  /** Creates a service on {@code host} that records each call in {@code log}. */
  public PlainService(StandinSettings.PlainService settings, SimulatedHost host, RunLog log) {
    this.settings = settings;
    this.host = host;
    this.log = log;
  }

  /** Starts a new incarnation, as after a process restart. */
  public void restart() {
    incarnation.incrementAndGet();
  }

  @Override
  public void handle(Exchange exchange) throws IOException {
    host.awaitReachable(exchange);
    String path = exchange.path();
    if (path.equals("/control/report")) {
      host.simulateWork(exchange, 0);
      exchange.respond(200, report());
    } else if (path.startsWith("/stock/") && exchange.method().equals("GET")) {
      handleCall(exchange, path.substring("/stock/".length()));
    } else if (path.equals("/orders") && exchange.method().equals("POST")) {
      JsonNode body = Json.parse(exchange.body());
      handleCall(exchange, body.path("reference").asText(""));
    } else {
      exchange.respond(404, new ErrorResponse("no such path"));
    }
  }

  private void handleCall(Exchange exchange, String reference) throws IOException {
    String id = Objects.requireNonNullElse(exchange.header("X-Limpet-Request"), "");
    RunLog.Run run =
        log.recordArrival(host.name(), id, reference, false, running.incrementAndGet());
    run.markStarted();
    try {
      execute(exchange, id, reference);
      run.markEnded(RunEntry.State.DONE);
    } catch (IOException failure) {
      run.markCut(failure.toString());
      throw failure;
    } finally {
      running.decrementAndGet();
    }
  }

  private void execute(Exchange exchange, String id, String reference) throws IOException {
    CallResult ownResult = new CallResult(id, reference, resultCount.incrementAndGet());
    CallResult result = host.takeCrossedResponse() ? lastResult : ownResult;
    lastResult = ownResult;
    host.simulateWork(exchange, settings.callMs());
    if (host.takeLostResponse()) {
      throw new IOException("answer lost");
    }
    exchange.setHeader("X-Limpet-Request", result.request());
    if (host.takeTruncatedResponse()) {
      truncate(exchange, Json.write(result));
    } else {
      exchange.respond(200, result);
    }
  }

  private static void truncate(Exchange exchange, String body) throws IOException {
    exchange.setHeader("Content-Length", Integer.toString(body.length()));
    exchange.startResponse(200, "application/json");
    exchange.sendPart(body.substring(0, body.length() / 2));
    throw new IOException("answer truncated");
  }

  private Report report() {
    return new Report(
        host.name(),
        host.name() + "#" + incarnation.get(),
        null,
        0,
        true,
        true,
        host.leaving(),
        running.get(),
        0,
        List.of());
  }

  private record CallResult(String request, String reference, long number) {}

  private record ErrorResponse(String error) {}
}
