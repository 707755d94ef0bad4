package org.limpetring.engine.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import org.limpetring.base.RequestId;

/**
 * Checks that each event of a stream belongs to the request and follows the event before it.
 *
 * <p>Each event carries the request id and a sequence number. A gap, a duplicate or another id
 * means that the response belongs to another request or is incomplete.
 */
final class EventStreamValidator {

  /** Data of the event that ends a complete response. */
  static final String END_MARKER = "[DONE]";

  private static final JsonFactory JSON = new JsonFactory();

  private final RequestId request;
  private long nextIndex;
  private boolean ended;

  EventStreamValidator(RequestId request, int firstIndex) {
    this.request = request;
    this.nextIndex = firstIndex;
  }

  /** Result of the check of one event. */
  enum Verdict {
    /** The expected next event. */
    NEXT_EVENT,
    /** The end marker. */
    END,
    /** An event of another request. */
    OTHER_REQUEST,
    /** An event out of sequence, or malformed. */
    BROKEN
  }

  /** Checks the data of one event. */
  Verdict validate(String data) {
    if (ended) {
      return Verdict.BROKEN;
    }
    if (data.equals(END_MARKER)) {
      ended = true;
      return Verdict.END;
    }
    try (JsonParser parser = JSON.createParser(data)) {
      return validate(parser);
    } catch (IOException malformed) {
      return Verdict.BROKEN;
    }
  }

  private Verdict validate(JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      return Verdict.BROKEN;
    }
    String id = "";
    long index = -1;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String field = parser.currentName();
      JsonToken value = parser.nextToken();
      if (field.equals("id") && value == JsonToken.VALUE_STRING) {
        id = parser.getText();
      } else if (field.equals("index") && value == JsonToken.VALUE_NUMBER_INT) {
        index = parser.getLongValue();
      } else {
        parser.skipChildren();
      }
    }
    if (!id.equals(request.value())) {
      return Verdict.OTHER_REQUEST;
    }
    if (index != nextIndex) {
      return Verdict.BROKEN;
    }
    nextIndex++;
    return Verdict.NEXT_EVENT;
  }
}
