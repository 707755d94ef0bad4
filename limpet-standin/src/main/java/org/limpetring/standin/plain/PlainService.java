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

/** Plain service with an idempotent stock read and a non-idempotent order. */
public final class PlainService implements Service {

  private final StandinSettings.PlainService settings;
  private final SimulatedHost host;
  private final RunLog log;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger incarnation = new AtomicInteger(1);
  private final AtomicLong orders = new AtomicLong();
  private volatile Done last = new Done("", "", 0);

  /** Serves on {@code host} and notes each call in {@code log}. */
  public PlainService(StandinSettings.PlainService settings, SimulatedHost host, RunLog log) {
    this.settings = settings;
    this.host = host;
    this.log = log;
  }

  /** Forgets all, as a new process would. */
  public void restart() {
    incarnation.incrementAndGet();
  }

  @Override
  public void handle(Exchange exchange) throws IOException {
    host.gate(exchange);
    String path = exchange.path();
    if (path.equals("/control/report")) {
      host.work(exchange, 0);
      exchange.answer(200, report());
    } else if (path.startsWith("/stock/") && exchange.method().equals("GET")) {
      call(exchange, path.substring("/stock/".length()));
    } else if (path.equals("/orders") && exchange.method().equals("POST")) {
      JsonNode body = Json.parse(exchange.body());
      call(exchange, body.path("reference").asText(""));
    } else {
      exchange.answer(404, new Refusal("no such path"));
    }
  }

  private void call(Exchange exchange, String reference) throws IOException {
    String id = Objects.requireNonNullElse(exchange.header("X-Limpet-Request"), "");
    RunLog.Run run = log.arrived(host.name(), id, reference, false, running.incrementAndGet());
    run.started();
    try {
      run(exchange, id, reference);
      run.ended(RunEntry.State.DONE);
    } catch (IOException failure) {
      run.cut(failure.toString());
      throw failure;
    } finally {
      running.decrementAndGet();
    }
  }

  private void run(Exchange exchange, String id, String reference) throws IOException {
    Done own = new Done(id, reference, orders.incrementAndGet());
    Done sent = host.crossesAnswer() ? last : own;
    last = own;
    host.work(exchange, settings.callMs());
    if (host.losesAnswer()) {
      throw new IOException("answer lost");
    }
    exchange.setHeader("X-Limpet-Request", sent.request());
    if (host.truncatesAnswer()) {
      truncate(exchange, Json.write(sent));
    } else {
      exchange.answer(200, sent);
    }
  }

  private static void truncate(Exchange exchange, String body) throws IOException {
    exchange.setHeader("Content-Length", Integer.toString(body.length()));
    exchange.begin(200, "application/json");
    exchange.part(body.substring(0, body.length() / 2));
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

  private record Done(String request, String reference, long number) {}

  private record Refusal(String error) {}
}
