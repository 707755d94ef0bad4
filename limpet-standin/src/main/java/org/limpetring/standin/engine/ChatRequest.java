package org.limpetring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.limpetring.standin.http.Json;

/**
 * Fields of a chat completion request that the stand-in evaluates.
 *
 * @param prompt concatenated contents of all messages
 * @param reference the caller's own identifier, from the field {@code user}
 * @param crash whether executing the request crashes the engine (a poison request)
 */
record ChatRequest(String prompt, int tokens, boolean streamed, String reference, boolean crash) {

  private static final int DEFAULT_TOKENS = 16;
  private static final int MAX_TOKENS = 100_000;

  static ChatRequest parse(byte[] body) throws IOException {
    JsonNode json = Json.parse(body);
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : json.path("messages")) {
      prompt.append(message.path("content").asText());
    }
    int tokens = json.path("max_tokens").asInt(DEFAULT_TOKENS);
    return new ChatRequest(
        prompt.toString(),
        Math.max(0, Math.min(MAX_TOKENS, tokens)),
        json.path("stream").asBoolean(false),
        json.path("user").asText(""),
        json.path("crash").asBoolean(false));
  }
}
