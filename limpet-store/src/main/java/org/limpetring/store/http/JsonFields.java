package org.limpetring.store.http;

import com.fasterxml.jackson.databind.JsonNode;

/** Typed access to the fields of an answer. */
final class JsonFields {

  private JsonFields() {}

  static String text(JsonNode node, String field) throws MalformedAnswerException {
    JsonNode value = node.path(field);
    if (!value.isTextual()) {
      throw new MalformedAnswerException("no text in field " + field);
    }
    return value.textValue();
  }

  /** Reads a number that is not negative. */
  static long number(JsonNode node, String field) throws MalformedAnswerException {
    JsonNode value = node.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
      throw new MalformedAnswerException("no number in field " + field);
    }
    return value.longValue();
  }

  static JsonNode array(JsonNode node, String field) throws MalformedAnswerException {
    JsonNode value = node.path(field);
    if (!value.isArray()) {
      throw new MalformedAnswerException("no array in field " + field);
    }
    return value;
  }
}
