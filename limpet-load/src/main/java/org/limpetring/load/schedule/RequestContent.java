package org.limpetring.load.schedule;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.limpetring.standin.http.Json;

/**
 * Content of one request, generated from its seed.
 *
 * @param prompt text that determines the expected response
 * @param tokens number of tokens requested
 */
public record RequestContent(Arrival arrival, String prompt, int tokens) {

  private static final List<String> WORDS =
      List.of("wheel", "dresser", "spindle", "grit", "pantry", "card", "press", "flour", "trace");

  /** Generates the content of {@code arrival}. */
  public static RequestContent of(Arrival arrival) {
    Random random = new Random(arrival.contentSeed());
    StringBuilder prompt = new StringBuilder(arrival.reference());
    for (int word = 0; word < arrival.kind().promptWords(); word++) {
      prompt.append(' ').append(WORDS.get(random.nextInt(WORDS.size())));
    }
    int meanTokens = Math.max(1, arrival.kind().tokens());
    int tokens = Math.max(1, meanTokens / 2 + random.nextInt(meanTokens + 1));
    return new RequestContent(arrival, prompt.toString(), tokens);
  }

  /** Path of the request. */
  public String path() {
    return arrival.kind().form() == Experiment.Form.READ
        ? arrival.kind().path() + arrival.reference()
        : arrival.kind().path();
  }

  /** Body of the request; empty for a read. */
  public byte[] body() {
    return switch (arrival.kind().form()) {
      case READ -> new byte[0];
      case ORDER -> bytes(new OrderBody(arrival.reference(), prompt));
      case STREAM -> bytes(chatBody(true));
      case WHOLE -> bytes(chatBody(false));
    };
  }

  private ChatBody chatBody(boolean stream) {
    return new ChatBody(
        arrival.kind().model(),
        List.of(new Message("user", prompt)),
        tokens,
        stream,
        arrival.reference());
  }

  private static byte[] bytes(Object value) {
    return Json.write(value).getBytes(StandardCharsets.UTF_8);
  }

  private record OrderBody(String reference, String note) {}

  private record Message(String role, String content) {}

  private record ChatBody(
      String model,
      List<Message> messages,
      @JsonProperty("max_tokens") int maxTokens,
      boolean stream,
      String user) {}
}
