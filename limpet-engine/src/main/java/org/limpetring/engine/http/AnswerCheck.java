package org.limpetring.engine.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import org.limpetring.base.RequestId;

/**
 * Decides whether the next event of a stream belongs to the request and follows the last one.
 *
 * <p>An event carries the request id and its own number; a gap, a repeat or another id means that
 * the answer is not the caller's own or not whole.
 */
final class AnswerCheck {

  /** Data of the event that ends a whole answer. */
  static final String END_MARKER = "[DONE]";

  private static final JsonFactory JSON = new JsonFactory();

  private final RequestId request;
  private long nextIndex;
  private boolean ended;

  AnswerCheck(RequestId request, int firstIndex) {
    this.request = request;
    this.nextIndex = firstIndex;
  }

  /** What one event turned out to be. */
  enum Verdict {
    /** The next part of the answer. */
    PART,
    /** The end marker. */
    END,
    /** Another request's event. */
    FOREIGN,
    /** An event out of order, or not in the agreed form. */
    BROKEN
  }

  /** Judges the data of one event. */
  Verdict judge(String data) {
    if (ended) {
      return Verdict.BROKEN;
    }
    if (data.equals(END_MARKER)) {
      ended = true;
      return Verdict.END;
    }
    try (JsonParser parser = JSON.createParser(data)) {
      return judge(parser);
    } catch (IOException malformed) {
      return Verdict.BROKEN;
    }
  }

  private Verdict judge(JsonParser parser) throws IOException {
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
      return Verdict.FOREIGN;
    }
    if (index != nextIndex) {
      return Verdict.BROKEN;
    }
    nextIndex++;
    return Verdict.PART;
  }
}
