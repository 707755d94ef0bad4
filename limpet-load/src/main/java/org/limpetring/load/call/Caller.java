package org.limpetring.load.call;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.NoHttpResponseException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.RunState;
import org.limpetring.load.schedule.Arrival;
import org.limpetring.load.schedule.Experiment;
import org.limpetring.load.schedule.RequestContent;
import org.limpetring.standin.http.Json;

/** Sends one request as an ordinary caller would, and tries again where its settings allow. */
public final class Caller {

  private static final int STATUS_OK = 200;
  private static final String REQUEST_HEADER = "X-Limpet-Request";

  private final CloseableHttpClient client;
  private final List<String> daemons;
  private final Experiment.Tries tries;

  /** Calls {@code daemons} through {@code client}. */
  public Caller(CloseableHttpClient client, List<String> daemons, Experiment.Tries tries) {
    this.client = client;
    this.daemons = List.copyOf(daemons);
    this.tries = tries;
  }

  /** Sends the request until it is answered or no try is left; waits count from {@code dueNs}. */
  public CallResult call(Arrival arrival, long dueNs, long dueWallMs) {
    RequestContent content = RequestContent.of(arrival);
    List<Attempt> attempts = new ArrayList<>();
    int daemon = new Random(arrival.contentSeed()).nextInt(daemons.size());
    AnswerTimes times;
    do {
      times = new AnswerTimes();
      attempts.add(attempt(content, daemons.get(daemon % daemons.size()), times));
      daemon++;
    } while (attempts.size() < tries.max() && triesAgain(arrival, last(attempts)));
    long totalMs = (System.nanoTime() - dueNs) / Clock.NANOS_PER_MS;
    long firstMs = times.firstNs == 0 ? -1 : (times.firstNs - dueNs) / Clock.NANOS_PER_MS;
    return new CallResult(arrival, dueWallMs, firstMs, totalMs, times.gapsUs, attempts);
  }

  private boolean triesAgain(Arrival arrival, Attempt attempt) {
    if (attempt.end() == Attempt.End.WHOLE || attempt.end() == Attempt.End.WRONG) {
      return false;
    }
    if (attempt.runState() != RunState.NOT_RUN) {
      return tries.whenUnknown() && attempt.advice() == Attempt.Advice.IF_IDEMPOTENT;
    }
    if (attempt.advice() == Attempt.Advice.ELSEWHERE) {
      return tries.whenTold();
    }
    return attempt.advice() == Attempt.Advice.LATER && tries.waitMs() > 0 && pause(arrival);
  }

  private boolean pause(Arrival arrival) {
    long jitterMs = Math.floorMod(arrival.contentSeed(), Math.max(1, tries.waitMs() / 2));
    try {
      Thread.sleep(tries.waitMs() + jitterMs);
      return true;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private Attempt attempt(RequestContent content, String daemon, AnswerTimes times) {
    long atMs = Clock.wall().nowMs();
    Draft draft = new Draft(daemon, atMs);
    try {
      return client.execute(
          request(content, daemon), answer -> read(content, answer, draft, times));
    } catch (ConnectException | ConnectTimeoutException refused) {
      return draft.refused(refused.toString());
    } catch (NoHttpResponseException gone) {
      return draft.broken(gone.toString());
    } catch (JsonProcessingException malformed) {
      return draft.wrong("malformed answer: " + malformed.getOriginalMessage());
    } catch (IOException broken) {
      return draft.broken(broken.toString());
    }
  }

  private static Attempt read(
      RequestContent content, ClassicHttpResponse answer, Draft draft, AnswerTimes times)
      throws IOException {
    Header id = answer.getFirstHeader(REQUEST_HEADER);
    draft.request = id == null ? "" : id.getValue();
    HttpEntity entity = answer.getEntity();
    if (entity == null) {
      return draft.wrong("answer without a body");
    }
    try (InputStream stream = entity.getContent()) {
      if (answer.getCode() != STATUS_OK) {
        return draft.error(Json.parse(stream.readAllBytes()));
      }
      AnswerReader reader = new AnswerReader(content, draft.request);
      boolean streamed = content.arrival().kind().form() == Experiment.Form.STREAM;
      AnswerReader.Verdict verdict =
          streamed ? reader.readStream(stream) : reader.readWhole(stream);
      times.firstNs = reader.firstNs();
      times.gapsUs = reader.gapsUs();
      return draft.verdict(verdict);
    }
  }

  private static HttpUriRequestBase request(RequestContent content, String daemon) {
    Arrival arrival = content.arrival();
    Experiment.Form form = arrival.kind().form();
    String method = form == Experiment.Form.READ ? "GET" : "POST";
    HttpUriRequestBase request =
        new HttpUriRequestBase(method, URI.create(daemon + content.path()));
    request.setHeader("Authorization", "Bearer " + arrival.team().key());
    if (arrival.kind().deadlineMs() > 0) {
      request.setHeader("X-Deadline-Ms", Long.toString(arrival.kind().deadlineMs()));
    }
    if (form == Experiment.Form.ORDER) {
      request.setHeader("Idempotency-Key", arrival.reference());
    }
    if (form != Experiment.Form.READ) {
      request.setEntity(new ByteArrayEntity(content.body(), ContentType.APPLICATION_JSON));
    }
    return request;
  }

  private static Attempt last(List<Attempt> attempts) {
    return attempts.get(attempts.size() - 1);
  }

  private static final class AnswerTimes {
    private long firstNs;
    private long[] gapsUs = new long[0];
  }

  /** What is known of a try before its end. */
  private static final class Draft {

    private final String daemon;
    private final long atMs;
    private String request = "";

    private Draft(String daemon, long atMs) {
      this.daemon = daemon;
      this.atMs = atMs;
    }

    private Attempt verdict(AnswerReader.Verdict verdict) {
      if (verdict instanceof AnswerReader.Verdict.Error error) {
        return error(error.body());
      }
      if (verdict instanceof AnswerReader.Verdict.Wrong wrong) {
        return wrong(wrong.reason());
      }
      return end(Attempt.End.WHOLE, 0, RunState.RAN, Attempt.Advice.NEVER, "");
    }

    private Attempt error(JsonNode body) {
      RunState runState = runState(body.path("runState").asText());
      if (runState == null) {
        return wrong("error that does not tell whether the request ran: " + body);
      }
      Attempt.Advice advice =
          switch (label(body.path("retry").asText())) {
            case "ELSEWHERE" -> Attempt.Advice.ELSEWHERE;
            case "LATER" -> Attempt.Advice.LATER;
            case "IF_IDEMPOTENT" -> Attempt.Advice.IF_IDEMPOTENT;
            default -> Attempt.Advice.NEVER;
          };
      int code = body.path("code").asInt(Attempt.CODE_BROKEN);
      return end(Attempt.End.ERROR, code, runState, advice, body.path("message").asText());
    }

    private static @Nullable RunState runState(String label) {
      for (RunState state : RunState.values()) {
        if (state.label().equals(label)) {
          return state;
        }
      }
      return null;
    }

    private Attempt refused(String reason) {
      return end(
          Attempt.End.BROKEN,
          Attempt.CODE_REFUSED,
          RunState.NOT_RUN,
          Attempt.Advice.ELSEWHERE,
          reason);
    }

    private Attempt broken(String reason) {
      return end(
          Attempt.End.BROKEN,
          Attempt.CODE_BROKEN,
          RunState.UNKNOWN,
          Attempt.Advice.IF_IDEMPOTENT,
          reason);
    }

    private Attempt wrong(String reason) {
      return end(
          Attempt.End.WRONG, Attempt.CODE_WRONG, RunState.UNKNOWN, Attempt.Advice.NEVER, reason);
    }

    private Attempt end(
        Attempt.End end, int code, RunState runState, Attempt.Advice advice, String detail) {
      return new Attempt(daemon, request, end, code, runState, advice, atMs, detail);
    }

    private static String label(String text) {
      return text.toUpperCase(Locale.ROOT).replace(' ', '_');
    }
  }
}
