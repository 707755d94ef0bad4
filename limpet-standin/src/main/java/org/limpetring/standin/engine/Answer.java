package org.limpetring.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.limpetring.standin.http.Json;

/** Answer to one chat completion, event by event or whole. */
record Answer(String id, String prompt, int tokens) {

  String event(int index) {
    Chunk chunk =
        new Chunk(
            id,
            "chat.completion.chunk",
            index,
            List.of(new Choice(0, new Message("assistant", Tokens.token(prompt, index)))));
    return Json.write(chunk);
  }

  String wholeText() {
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < tokens; index++) {
      text.append(Tokens.token(prompt, index));
    }
    Message message = new Message("assistant", text.toString());
    return Json.write(
        new Completion(id, "chat.completion", List.of(new WholeChoice(0, message, "stop"))));
  }

  byte[] whole() {
    return wholeText().getBytes(StandardCharsets.UTF_8);
  }

  private record Chunk(String id, String object, int index, List<Choice> choices) {}

  private record Choice(int index, Message delta) {}

  private record Message(String role, String content) {}

  private record Completion(String id, String object, List<WholeChoice> choices) {}

  private record WholeChoice(
      int index,
      Message message,
      @com.fasterxml.jackson.annotation.JsonProperty("finish_reason") String finishReason) {}
}
