package org.limpetring.store.http;

import com.fasterxml.jackson.databind.JsonNode;

/** Typed access to the fields of a JSON response. */
final class JsonFields {

  private JsonFields() {}

  static String text(JsonNode node, String field) throws MalformedResponseException {
    JsonNode value = node.path(field);
    if (!value.isTextual()) {
      throw new MalformedResponseException("no text in field " + field);
    }
    return value.textValue();
  }

  /** Reads a non-negative integer. */
  static long number(JsonNode node, String field) throws MalformedResponseException {
    JsonNode value = node.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
      throw new MalformedResponseException("no number in field " + field);
    }
    return value.longValue();
  }

  static JsonNode array(JsonNode node, String field) throws MalformedResponseException {
    JsonNode value = node.path(field);
    if (!value.isArray()) {
      throw new MalformedResponseException("no array in field " + field);
    }
    return value;
  }
}
