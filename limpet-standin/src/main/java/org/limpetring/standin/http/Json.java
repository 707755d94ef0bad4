package org.limpetring.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads and writes JSON; comments and trailing commas are accepted on input. */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();

  private Json() {}

  /** Reads a file as a value of {@code type}; unknown fields are rejected. */
  public static <T> T readFile(Path file, Class<T> type) throws IOException {
    return MAPPER.readValue(Files.readString(file), type);
  }

  /** Reads {@code json} as a value of {@code type}; unknown fields are rejected. */
  public static <T> T read(byte[] json, Class<T> type) throws IOException {
    return MAPPER.readValue(json, type);
  }

  /** Parses {@code json}; empty input yields an empty object. */
  public static JsonNode parse(byte[] json) throws IOException {
    return json.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(json);
  }

  /** Serializes a value on a single line. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new IllegalArgumentException("cannot serialize as JSON: " + value, failure);
    }
  }
}
