package org.limpetring.daemon.caller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Fields of a chat request that routing uses; the body itself is forwarded unchanged.
 *
 * @param model requested model, or null
 * @param streamed whether the response is an event stream
 * @param maxTokens limit of tokens in the response, or 0 if not given
 */
public record ChatBody(@Nullable String model, boolean streamed, int maxTokens) {

  /** Body without any of these fields. */
  static final ChatBody PLAIN = new ChatBody(null, false, 0);

  private static final JsonFactory JSON = new JsonFactory();

  /**
   * Reads the top-level fields of a JSON object.
   *
   * @throws IOException if the body is not one well-formed JSON object
   */
  static ChatBody read(byte[] body) throws IOException {
    String model = null;
    boolean streamed = false;
    int maxTokens = 0;
    try (JsonParser parser = JSON.createParser(body)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("a JSON object is expected");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String field = parser.currentName();
        JsonToken value = parser.nextToken();
        if (field.equals("model") && value == JsonToken.VALUE_STRING) {
          model = parser.getText();
        } else if (field.equals("stream")) {
          streamed = value == JsonToken.VALUE_TRUE;
        } else if (field.equals("max_tokens") && value == JsonToken.VALUE_NUMBER_INT) {
          maxTokens = parser.getValueAsInt();
        } else {
          parser.skipChildren();
        }
      }
      if (parser.nextToken() != null) {
        throw new IOException("text after the JSON object");
      }
    }
    return new ChatBody(model, streamed, maxTokens);
  }
}
