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

/** Sends one request as an ordinary caller would, and retries as its retry policy allows. */
public final class Caller {

  private static final int STATUS_OK = 200;
  private static final String REQUEST_HEADER = "X-Limpet-Request";

  private final CloseableHttpClient client;
  private final List<String> daemons;
  private final Experiment.RetryPolicy retryPolicy;

  /** Calls {@code daemons} through {@code client}. */
  public Caller(
      CloseableHttpClient client, List<String> daemons, Experiment.RetryPolicy retryPolicy) {
    this.client = client;
    this.daemons = List.copyOf(daemons);
    this.retryPolicy = retryPolicy;
  }

  /**
   * Sends the request until it succeeds or no retry is allowed. Latencies are measured from {@code
   * dueNs}, so that they include the delay of a late start.
   */
  public CallResult call(Arrival arrival, long dueNs, long dueWallMs) {
    RequestContent content = RequestContent.of(arrival);
    List<Attempt> attempts = new ArrayList<>();
    int daemon = new Random(arrival.contentSeed()).nextInt(daemons.size());
    ResponseTimes times;
    do {
      times = new ResponseTimes();
      attempts.add(attempt(content, daemons.get(daemon % daemons.size()), times));
      daemon++;
    } while (attempts.size() < retryPolicy.max() && shouldRetry(arrival, last(attempts)));
    long totalMs = (System.nanoTime() - dueNs) / Clock.NANOS_PER_MS;
    long firstEventMs =
        times.firstEventNs == 0 ? -1 : (times.firstEventNs - dueNs) / Clock.NANOS_PER_MS;
    return new CallResult(arrival, dueWallMs, firstEventMs, totalMs, times.gapsUs, attempts);
  }

  private boolean shouldRetry(Arrival arrival, Attempt attempt) {
    if (attempt.end() == Attempt.End.WHOLE || attempt.end() == Attempt.End.WRONG) {
      return false;
    }
    if (attempt.runState() != RunState.NOT_RUN) {
      return retryPolicy.whenUnknown() && attempt.advice() == Attempt.Advice.IF_IDEMPOTENT;
    }
    if (attempt.advice() == Attempt.Advice.ELSEWHERE) {
      return retryPolicy.whenTold();
    }
    return attempt.advice() == Attempt.Advice.LATER
        && retryPolicy.waitMs() > 0
        && waitBeforeRetry(arrival);
  }

  private boolean waitBeforeRetry(Arrival arrival) {
    long jitterMs = Math.floorMod(arrival.contentSeed(), Math.max(1, retryPolicy.waitMs() / 2));
    try {
      Thread.sleep(retryPolicy.waitMs() + jitterMs);
      return true;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private Attempt attempt(RequestContent content, String daemon, ResponseTimes times) {
    long startedAtMs = Clock.wall().nowMs();
    AttemptBuilder builder = new AttemptBuilder(daemon, startedAtMs);
    try {
      return client.execute(
          request(content, daemon), response -> read(content, response, builder, times));
    } catch (ConnectException | ConnectTimeoutException refused) {
      return builder.refused(refused.toString());
    } catch (NoHttpResponseException noResponse) {
      return builder.broken(noResponse.toString());
    } catch (JsonProcessingException malformed) {
      return builder.wrong("malformed response: " + malformed.getOriginalMessage());
    } catch (IOException broken) {
      return builder.broken(broken.toString());
    }
  }

  private static Attempt read(
      RequestContent content,
      ClassicHttpResponse response,
      AttemptBuilder builder,
      ResponseTimes times)
      throws IOException {
    Header id = response.getFirstHeader(REQUEST_HEADER);
    builder.requestId = id == null ? "" : id.getValue();
    HttpEntity entity = response.getEntity();
    if (entity == null) {
      return builder.wrong("response without a body");
    }
    try (InputStream stream = entity.getContent()) {
      if (response.getCode() != STATUS_OK) {
        return builder.error(Json.parse(stream.readAllBytes()));
      }
      ResponseReader reader = new ResponseReader(content, builder.requestId);
      boolean streamed = content.arrival().kind().form() == Experiment.Form.STREAM;
      ResponseReader.Outcome outcome =
          streamed ? reader.readStream(stream) : reader.readSingle(stream);
      times.firstEventNs = reader.firstEventNs();
      times.gapsUs = reader.gapsUs();
      return builder.outcome(outcome);
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

  /** Times of the events of one response. */
  private static final class ResponseTimes {
    private long firstEventNs;
    private long[] gapsUs = new long[0];
  }

  /** Builds the record of an attempt, from its start to its end. */
  private static final class AttemptBuilder {

    private final String daemon;
    private final long startedAtMs;
    private String requestId = "";

    private AttemptBuilder(String daemon, long startedAtMs) {
      this.daemon = daemon;
      this.startedAtMs = startedAtMs;
    }

    private Attempt outcome(ResponseReader.Outcome outcome) {
      if (outcome instanceof ResponseReader.Outcome.Error error) {
        return error(error.body());
      }
      if (outcome instanceof ResponseReader.Outcome.Wrong wrong) {
        return wrong(wrong.reason());
      }
      return end(Attempt.End.WHOLE, 0, RunState.RAN, Attempt.Advice.NEVER, "");
    }

    private Attempt error(JsonNode body) {
      RunState runState = runState(body.path("runState").asText());
      if (runState == null) {
        return wrong("error response without a valid run state: " + body);
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
      return new Attempt(daemon, requestId, end, code, runState, advice, startedAtMs, detail);
    }

    private static String label(String text) {
      return text.toUpperCase(Locale.ROOT).replace(' ', '_');
    }
  }
}
