package org.limpetring.store.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes {@link WriteStamps} in the field {@value #FIELD} of a JSON object. */
final class StampedJson {

  /** Name of the field that holds the stamps. */
  static final String FIELD = "writes";

  private static final String ATTEMPT_FIELD = "attempt";
  private static final String BASE_FIELD = "base";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private StampedJson() {}

  /** Reads the stamps; returns an empty list if the value has no readable stamps. */
  static WriteStamps read(String value) {
    try {
      List<WriteStamps.Stamp> stamps = new ArrayList<>();
      for (JsonNode node : MAPPER.readTree(value).path(FIELD)) {
        stamps.add(
            new WriteStamps.Stamp(
                node.path(ATTEMPT_FIELD).asText(), node.path(BASE_FIELD).asLong(-1)));
      }
      return new WriteStamps(stamps);
    } catch (JsonProcessingException unreadable) {
      return WriteStamps.NONE;
    }
  }

  /**
   * Replaces the stamps of a JSON object.
   *
   * @throws IllegalArgumentException if {@code value} is not a JSON object
   */
  static String write(String value, WriteStamps stamps) {
    try {
      if (!(MAPPER.readTree(value) instanceof ObjectNode object)) {
        throw new IllegalArgumentException("value is not a JSON object");
      }
      ArrayNode array = object.putArray(FIELD);
      for (WriteStamps.Stamp stamp : stamps.stamps()) {
        array
            .addObject()
            .put(ATTEMPT_FIELD, stamp.attemptId())
            .put(BASE_FIELD, stamp.baseVersion());
      }
      return MAPPER.writeValueAsString(object);
    } catch (JsonProcessingException malformed) {
      throw new IllegalArgumentException("value is not JSON", malformed);
    }
  }
}
