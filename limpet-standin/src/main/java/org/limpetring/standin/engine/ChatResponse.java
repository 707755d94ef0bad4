package org.limpetring.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.limpetring.standin.http.Json;

/** Response to a chat completion request, as stream events or as a single body. */
record ChatResponse(String id, String prompt, int tokens) {

  String eventText(int index) {
    Chunk chunk =
        new Chunk(
            id,
            "chat.completion.chunk",
            index,
            List.of(new Choice(0, new Message("assistant", Tokens.token(prompt, index)))));
    return Json.write(chunk);
  }

  String bodyText() {
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < tokens; index++) {
      text.append(Tokens.token(prompt, index));
    }
    Message message = new Message("assistant", text.toString());
    return Json.write(
        new Completion(id, "chat.completion", List.of(new CompletionChoice(0, message, "stop"))));
  }

  byte[] body() {
    return bodyText().getBytes(StandardCharsets.UTF_8);
  }

  private record Chunk(String id, String object, int index, List<Choice> choices) {}

  private record Choice(int index, Message delta) {}

  private record Message(String role, String content) {}

  private record Completion(String id, String object, List<CompletionChoice> choices) {}

  private record CompletionChoice(
      int index,
      Message message,
      @com.fasterxml.jackson.annotation.JsonProperty("finish_reason") String finishReason) {}
}
