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

/** Reads one answer and decides whether it is the whole answer to the caller's own request. */
final class AnswerReader {

  private static final String DATA = "data: ";
  private static final String ERROR_EVENT = "event: error";
  private static final String DONE = "[DONE]";
  private static final long NANOS_PER_US = 1_000;

  private final RequestContent content;
  private final String request;
  private long firstNs;
  private long lastNs;
  private long[] gapsUs = new long[0];
  private int events;

  /** Reads the answer that carries id {@code request}. */
  AnswerReader(RequestContent content, String request) {
    this.content = content;
    this.request = request;
  }

  /** {@link System#nanoTime} of the first event or byte, or 0. */
  long firstNs() {
    return firstNs;
  }

  long[] gapsUs() {
    return Arrays.copyOf(gapsUs, Math.max(0, events - 1));
  }

  /** Reads a stream to its end. */
  Verdict readStream(InputStream stream) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8));
    gapsUs = new long[content.tokens()];
    boolean error = false;
    boolean done = false;
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      if (line.equals(ERROR_EVENT)) {
        error = true;
      } else if (line.startsWith(DATA) && error) {
        return new Verdict.Error(Json.parse(bytes(line.substring(DATA.length()))));
      } else if (line.equals(DATA + DONE)) {
        done = true;
      } else if (line.startsWith(DATA)) {
        String mistake = done ? "event after the end" : event(line.substring(DATA.length()));
        if (mistake != null) {
          return new Verdict.Wrong(mistake);
        }
      }
    }
    return streamVerdict(done);
  }

  /** Reads an answer that is not a stream. */
  Verdict readWhole(InputStream stream) throws IOException {
    byte[] body = stream.readAllBytes();
    firstNs = System.nanoTime();
    JsonNode json = Json.parse(body);
    String found;
    String wanted;
    switch (content.arrival().kind().form()) {
      case READ, ORDER -> {
        found = json.path("reference").asText();
        wanted = content.arrival().reference();
      }
      default -> {
        found = json.path("choices").path(0).path("message").path("content").asText();
        wanted = wholeText();
      }
    }
    return found.equals(wanted) ? new Verdict.Whole() : new Verdict.Wrong("other answer");
  }

  private Verdict streamVerdict(boolean done) {
    if (!done) {
      return new Verdict.Wrong("stream ended in order without end marker or error");
    }
    return events == content.tokens()
        ? new Verdict.Whole()
        : new Verdict.Wrong(events + " events instead of " + content.tokens());
  }

  private @Nullable String event(String text) throws IOException {
    long nowNs = System.nanoTime();
    JsonNode json = Json.parse(bytes(text));
    if (!json.path("id").asText().equals(request)) {
      return "event of request " + json.path("id").asText();
    }
    if (json.path("index").asInt(-1) != events) {
      return "event " + json.path("index").asText() + " instead of " + events;
    }
    String token = json.path("choices").path(0).path("delta").path("content").asText();
    if (!token.equals(Tokens.token(content.prompt(), events))) {
      return "other content at event " + events;
    }
    noteTime(nowNs);
    return null;
  }

  private void noteTime(long nowNs) {
    if (events == 0) {
      firstNs = nowNs;
    } else if (events <= gapsUs.length) {
      gapsUs[events - 1] = (nowNs - lastNs) / NANOS_PER_US;
    }
    lastNs = nowNs;
    events++;
  }

  private String wholeText() {
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < content.tokens(); index++) {
      text.append(Tokens.token(content.prompt(), index));
    }
    return text.toString();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** What the answer turned out to be. */
  sealed interface Verdict {

    /** The whole answer to the own request. */
    record Whole() implements Verdict {}

    /** An error in place of the rest of the answer. */
    record Error(JsonNode body) implements Verdict {}

    /** Something that passes for an answer. */
    record Wrong(String reason) implements Verdict {}
  }
}
