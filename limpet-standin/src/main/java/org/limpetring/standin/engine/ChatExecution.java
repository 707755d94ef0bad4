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
 * Executes chat completions on one engine: admits, takes the time that the settings name, and sends
 * the answer with the faults in effect.
 */
final class ChatExecution {

  private static final int COLD_CRASH_FACTOR = 2;

  private final Engine engine;
  private final RunLog log;
  private final Runnable crash;
  private final Set<String> cancelled = ConcurrentHashMap.newKeySet();
  private volatile @Nullable Answer lastAnswer;

  /** Executes for {@code engine}; {@code crash} ends its process and starts it anew. */
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
    RunLog.Run run = log.arrived(engine.host().name(), id, request.reference(), cold, running);
    Object token = engine.servingToken();
    if (token == null || !enter(exchange, cold)) {
      run.ended(RunEntry.State.REFUSED);
      refuse(exchange, id);
      return;
    }
    run.started();
    try {
      runIn(exchange, new Work(token, id, request, run));
    } catch (IOException failure) {
      run.cut(failure.toString());
      throw failure;
    } finally {
      engine.batch().leave();
      cancelled.remove(id);
      run.cut("");
    }
  }

  private boolean enter(Exchange exchange, boolean cold) throws IOException {
    if (!cold) {
      return enterWarm(exchange);
    }
    int running = engine.batch().enterNow();
    if (running > COLD_CRASH_FACTOR * engine.settings().coldConcurrency()) {
      engine.batch().leave();
      crash.run();
      throw new IOException("overload while cold");
    }
    return true;
  }

  private boolean enterWarm(Exchange exchange) throws IOException {
    String priority = Objects.requireNonNullElse(exchange.header("X-Limpet-Priority"), "0");
    try {
      return engine.batch().enter(engine.settings().warmConcurrency(), Integer.parseInt(priority));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", interrupted);
    }
  }

  private void runIn(Exchange exchange, Work work) throws IOException {
    if (work.request().crash()) {
      crash.run();
      throw new IOException("crashed by request " + work.id());
    }
    SimulatedHost host = engine.host();
    Answer own = new Answer(work.id(), work.request().prompt(), work.request().tokens());
    Answer earlier = lastAnswer;
    Answer sent = earlier != null && host.crossesAnswer() ? earlier : own;
    lastAnswer = own;
    pass(exchange, work, engine.settings().firstTokenMs());
    if (host.losesAnswer()) {
      throw new IOException("answer lost");
    }
    if (work.request().streamed()) {
      stream(exchange, work, sent);
    } else {
      answerWhole(exchange, work, sent);
    }
  }

  private void stream(Exchange exchange, Work work, Answer answer) throws IOException {
    boolean truncates = engine.host().truncatesAnswer();
    int end = truncates ? answer.tokens() / 2 : answer.tokens();
    exchange.setHeader("X-Limpet-Request", answer.id());
    exchange.begin(200, "text/event-stream");
    for (int index = resumeFrom(exchange); index < end; index++) {
      exchange.part("data: " + answer.event(index) + "\n\n");
      pass(exchange, work, engine.settings().msPerToken());
    }
    if (!truncates) {
      exchange.part("data: [DONE]\n\n");
      work.run().ended(RunEntry.State.DONE);
    }
    exchange.end();
  }

  private void answerWhole(Exchange exchange, Work work, Answer answer) throws IOException {
    for (int index = 0; index < work.request().tokens(); index++) {
      pass(exchange, work, engine.settings().msPerToken());
    }
    boolean truncates = engine.host().truncatesAnswer();
    exchange.setHeader("X-Limpet-Request", answer.id());
    byte[] body = answer.whole();
    work.run().ended(truncates ? RunEntry.State.CUT : RunEntry.State.DONE);
    if (truncates) {
      exchange.setHeader("Content-Length", Integer.toString(body.length));
      exchange.begin(200, "application/json");
      exchange.part(answer.wholeText().substring(0, body.length / 2));
      exchange.abort();
      return;
    }
    exchange.answer(200, "application/json", body);
  }

  /** Lets time pass and fails once the group is no longer whole, or the request is cancelled. */
  private void pass(Exchange exchange, Work work, long timeMs) throws IOException {
    engine.host().work(exchange, timeMs);
    if (cancelled.contains(work.id())) {
      throw new IOException("cancelled: " + work.id());
    }
    if (!engine.canGoOn(work.token())) {
      throw new IOException("group is no longer whole");
    }
  }

  private static int resumeFrom(Exchange exchange) {
    String resume = exchange.header("X-Limpet-Resume");
    return resume == null ? 0 : Integer.parseInt(resume);
  }

  private static void refuse(Exchange exchange, String id) throws IOException {
    exchange.setHeader("X-Limpet-Request", id);
    exchange.setHeader("X-Limpet-Not-Run", "true");
    exchange.answer(503, new Refusal("not serving"));
  }

  private record Work(Object token, String id, ChatRequest request, RunLog.Run run) {}

  private record Refusal(String error) {}
}
