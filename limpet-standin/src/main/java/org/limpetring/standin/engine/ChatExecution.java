package org.limpetring.standin.engine;

import java.io.IOException;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.standin.host.RunEntry;
import org.limpetring.standin.host.RunLog;
import org.limpetring.standin.host.SimulatedHost;
import org.limpetring.standin.http.Exchange;

/**
 * Executes chat completions on one engine: applies admission control, simulates the execution time
 * from the settings, and sends the response with the active faults applied.
 */
final class ChatExecution {

  /** A cold engine crashes above this multiple of the load that it sustains. */
  private static final int COLD_OVERLOAD_FACTOR = 2;

  private final Engine engine;
  private final RunLog log;
  private final Runnable crash;
  private final Set<String> cancelled = ConcurrentHashMap.newKeySet();
  private volatile @Nullable ChatResponse lastResponse;

  /** Executes requests on {@code engine}; {@code crash} kills and restarts its process. */
  ChatExecution(Engine engine, RunLog log, Runnable crash) {
    this.engine = engine;
    this.log = log;
    this.crash = crash;
  }

  void cancel(String request) {
    cancelled.add(request);
  }

  void execute(Exchange exchange) throws IOException {
    ChatRequest request = ChatRequest.parse(exchange.body());
    String id = Objects.requireNonNullElse(exchange.header("X-Limpet-Request"), "");
    boolean cold = !engine.isWarm();
    int running = engine.batch().running() + 1;
    RunLog.Run run =
        log.recordArrival(engine.host().name(), id, request.reference(), cold, running);
    Object token = engine.servingToken();
    if (token == null || !admit(exchange, cold)) {
      run.markEnded(RunEntry.State.REFUSED);
      rejectNotRun(exchange, id);
      return;
    }
    run.markStarted();
    try {
      executeAdmitted(exchange, new ActiveRequest(token, id, request, run));
    } catch (IOException failure) {
      run.markCut(failure.toString());
      throw failure;
    } finally {
      engine.batch().leave();
      cancelled.remove(id);
      run.markCut("");
    }
  }

  private boolean admit(Exchange exchange, boolean cold) throws IOException {
    if (!cold) {
      return admitWarm(exchange);
    }
    int running = engine.batch().enterUnlimited();
    if (running > COLD_OVERLOAD_FACTOR * engine.settings().coldConcurrency()) {
      engine.batch().leave();
      crash.run();
      throw new IOException("overload while cold");
    }
    return true;
  }

  private boolean admitWarm(Exchange exchange) throws IOException {
    String priority = Objects.requireNonNullElse(exchange.header("X-Limpet-Priority"), "0");
    try {
      return engine.batch().enter(engine.settings().warmConcurrency(), Integer.parseInt(priority));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", interrupted);
    }
  }

  private void executeAdmitted(Exchange exchange, ActiveRequest active) throws IOException {
    if (active.request().crash()) {
      crash.run();
      throw new IOException("crashed by request " + active.id());
    }
    SimulatedHost host = engine.host();
    ChatResponse ownResponse =
        new ChatResponse(active.id(), active.request().prompt(), active.request().tokens());
    ChatResponse previous = lastResponse;
    ChatResponse response = previous != null && host.takeCrossedResponse() ? previous : ownResponse;
    lastResponse = ownResponse;
    simulateStep(exchange, active, engine.settings().firstTokenMs());
    if (host.takeLostResponse()) {
      throw new IOException("answer lost");
    }
    if (active.request().streamed()) {
      streamResponse(exchange, active, response);
    } else {
      sendWholeResponse(exchange, active, response);
    }
  }

  private void streamResponse(Exchange exchange, ActiveRequest active, ChatResponse response)
      throws IOException {
    boolean isTruncated = engine.host().takeTruncatedResponse();
    int end = isTruncated ? response.tokens() / 2 : response.tokens();
    exchange.setHeader("X-Limpet-Request", response.id());
    exchange.startResponse(200, "text/event-stream");
    for (int index = resumeFrom(exchange); index < end; index++) {
      exchange.sendPart("data: " + response.eventText(index) + "\n\n");
      simulateStep(exchange, active, engine.settings().msPerToken());
    }
    if (!isTruncated) {
      exchange.sendPart("data: [DONE]\n\n");
      active.run().markEnded(RunEntry.State.DONE);
    }
    exchange.endResponse();
  }

  private void sendWholeResponse(Exchange exchange, ActiveRequest active, ChatResponse response)
      throws IOException {
    for (int index = 0; index < active.request().tokens(); index++) {
      simulateStep(exchange, active, engine.settings().msPerToken());
    }
    boolean isTruncated = engine.host().takeTruncatedResponse();
    exchange.setHeader("X-Limpet-Request", response.id());
    byte[] body = response.body();
    active.run().markEnded(isTruncated ? RunEntry.State.CUT : RunEntry.State.DONE);
    if (isTruncated) {
      exchange.setHeader("Content-Length", Integer.toString(body.length));
      exchange.startResponse(200, "application/json");
      exchange.sendPart(response.bodyText().substring(0, body.length / 2));
      exchange.abort();
      return;
    }
    exchange.respond(200, "application/json", body);
  }

  /** Simulates work; fails if the group is incomplete or the request is cancelled. */
  private void simulateStep(Exchange exchange, ActiveRequest active, long timeMs)
      throws IOException {
    engine.host().simulateWork(exchange, timeMs);
    if (cancelled.contains(active.id())) {
      throw new IOException("cancelled: " + active.id());
    }
    if (!engine.canContinue(active.token())) {
      throw new IOException("group is no longer whole");
    }
  }

  private static int resumeFrom(Exchange exchange) {
    String resume = exchange.header("X-Limpet-Resume");
    return resume == null ? 0 : Integer.parseInt(resume);
  }

  private static void rejectNotRun(Exchange exchange, String id) throws IOException {
    exchange.setHeader("X-Limpet-Request", id);
    exchange.setHeader("X-Limpet-Not-Run", "true");
    exchange.respond(503, new ErrorResponse("not serving"));
  }

  private record ActiveRequest(Object token, String id, ChatRequest request, RunLog.Run run) {}

  private record ErrorResponse(String error) {}
}
