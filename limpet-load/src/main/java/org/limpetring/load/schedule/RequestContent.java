package org.limpetring.load.schedule;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.limpetring.standin.http.Json;

/**
 * Content of one request, drawn from its seed.
 *
 * @param prompt text that the answer follows from
 * @param tokens events wanted
 */
public record RequestContent(Arrival arrival, String prompt, int tokens) {

  private static final List<String> WORDS =
      List.of("wheel", "dresser", "spindle", "grit", "pantry", "card", "press", "flour", "trace");

  /** Draws the content of {@code arrival}. */
  public static RequestContent of(Arrival arrival) {
    Random random = new Random(arrival.contentSeed());
    StringBuilder prompt = new StringBuilder(arrival.reference());
    for (int word = 0; word < arrival.kind().promptWords(); word++) {
      prompt.append(' ').append(WORDS.get(random.nextInt(WORDS.size())));
    }
    int mean = Math.max(1, arrival.kind().tokens());
    int tokens = Math.max(1, mean / 2 + random.nextInt(mean + 1));
    return new RequestContent(arrival, prompt.toString(), tokens);
  }

  /** Path to call. */
  public String path() {
    return arrival.kind().form() == Experiment.Form.READ
        ? arrival.kind().path() + arrival.reference()
        : arrival.kind().path();
  }

  /** Body to send; empty for a read. */
  public byte[] body() {
    return switch (arrival.kind().form()) {
      case READ -> new byte[0];
      case ORDER -> bytes(new Order(arrival.reference(), prompt));
      case STREAM -> bytes(chat(true));
      case WHOLE -> bytes(chat(false));
    };
  }

  private Chat chat(boolean stream) {
    return new Chat(
        arrival.kind().model(),
        List.of(new Message("user", prompt)),
        tokens,
        stream,
        arrival.reference());
  }

  private static byte[] bytes(Object value) {
    return Json.write(value).getBytes(StandardCharsets.UTF_8);
  }

  private record Order(String reference, String note) {}

  private record Message(String role, String content) {}

  private record Chat(
      String model,
      List<Message> messages,
      @JsonProperty("max_tokens") int maxTokens,
      boolean stream,
      String user) {}
}
