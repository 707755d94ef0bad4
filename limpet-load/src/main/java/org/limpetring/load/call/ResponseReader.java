package org.limpetring.load.call;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;
import org.limpetring.load.schedule.RequestContent;
import org.limpetring.standin.engine.Tokens;
import org.limpetring.standin.http.Json;

/** Reads one response and checks that it is the complete response to the caller's own request. */
final class ResponseReader {

  private static final String DATA_PREFIX = "data: ";
  private static final String ERROR_EVENT = "event: error";
  private static final String DONE_DATA = "[DONE]";
  private static final long NANOS_PER_US = 1_000;

  private final RequestContent content;
  private final String requestId;
  private long firstEventNs;
  private long lastEventNs;
  private long[] gapsUs = new long[0];
  private int eventCount;

  /** Reads the response whose request id is {@code requestId}. */
  ResponseReader(RequestContent content, String requestId) {
    this.content = content;
    this.requestId = requestId;
  }

  /** {@link System#nanoTime} of the first event, or of the body if not streamed; 0 if none. */
  long firstEventNs() {
    return firstEventNs;
  }

  /** Times between consecutive events in microseconds. */
  long[] gapsUs() {
    return Arrays.copyOf(gapsUs, Math.max(0, eventCount - 1));
  }

  /** Reads a streamed response to its end. */
  Outcome readStream(InputStream stream) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8));
    gapsUs = new long[content.tokens()];
    boolean errorEvent = false;
    boolean done = false;
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      if (line.equals(ERROR_EVENT)) {
        errorEvent = true;
      } else if (line.startsWith(DATA_PREFIX) && errorEvent) {
        return new Outcome.Error(Json.parse(utf8Bytes(line.substring(DATA_PREFIX.length()))));
      } else if (line.equals(DATA_PREFIX + DONE_DATA)) {
        done = true;
      } else if (line.startsWith(DATA_PREFIX)) {
        String defect =
            done ? "event after the end marker" : checkEvent(line.substring(DATA_PREFIX.length()));
        if (defect != null) {
          return new Outcome.Wrong(defect);
        }
      }
    }
    return streamOutcome(done);
  }

  /** Reads a response that is not streamed. */
  Outcome readSingle(InputStream stream) throws IOException {
    byte[] body = stream.readAllBytes();
    firstEventNs = System.nanoTime();
    JsonNode json = Json.parse(body);
    String actual;
    String expected;
    switch (content.arrival().kind().form()) {
      case READ, ORDER -> {
        actual = json.path("reference").asText();
        expected = content.arrival().reference();
      }
      default -> {
        actual = json.path("choices").path(0).path("message").path("content").asText();
        expected = expectedText();
      }
    }
    return actual.equals(expected)
        ? new Outcome.Complete()
        : new Outcome.Wrong("response to another request or with other content");
  }

  private Outcome streamOutcome(boolean done) {
    if (!done) {
      return new Outcome.Wrong("stream closed without an end marker or error");
    }
    return eventCount == content.tokens()
        ? new Outcome.Complete()
        : new Outcome.Wrong(eventCount + " events instead of " + content.tokens());
  }

  private @Nullable String checkEvent(String text) throws IOException {
    long nowNs = System.nanoTime();
    JsonNode json = Json.parse(utf8Bytes(text));
    if (!json.path("id").asText().equals(requestId)) {
      return "event of another request: " + json.path("id").asText();
    }
    if (json.path("index").asInt(-1) != eventCount) {
      return "event " + json.path("index").asText() + " instead of " + eventCount;
    }
    String token = json.path("choices").path(0).path("delta").path("content").asText();
    if (!token.equals(Tokens.token(content.prompt(), eventCount))) {
      return "unexpected content in event " + eventCount;
    }
    recordEventTime(nowNs);
    return null;
  }

  private void recordEventTime(long nowNs) {
    if (eventCount == 0) {
      firstEventNs = nowNs;
    } else if (eventCount <= gapsUs.length) {
      gapsUs[eventCount - 1] = (nowNs - lastEventNs) / NANOS_PER_US;
    }
    lastEventNs = nowNs;
    eventCount++;
  }

  private String expectedText() {
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < content.tokens(); index++) {
      text.append(Tokens.token(content.prompt(), index));
    }
    return text.toString();
  }

  private static byte[] utf8Bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Result of reading a response. */
  sealed interface Outcome {

    /** Complete response to the caller's own request. */
    record Complete() implements Outcome {}

    /** Error in place of the rest of the response. */
    record Error(JsonNode body) implements Outcome {}

    /** Response that looks successful but is not the complete one to the caller's request. */
    record Wrong(String reason) implements Outcome {}
  }
}
