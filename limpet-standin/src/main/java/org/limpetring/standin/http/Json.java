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

/** Reads and writes JSON; settings may hold comments. */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();

  private Json() {}

  /** Reads a file into a value of {@code type}, refusing unknown fields. */
  public static <T> T readFile(Path file, Class<T> type) throws IOException {
    return MAPPER.readValue(Files.readString(file), type);
  }

  /** Reads {@code text} into a value of {@code type}. */
  public static <T> T read(byte[] text, Class<T> type) throws IOException {
    return MAPPER.readValue(text, type);
  }

  /** Parses {@code text}; an empty body gives a node without fields. */
  public static JsonNode parse(byte[] text) throws IOException {
    return text.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(text);
  }

  /** Writes a value as one line. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException impossible) {
      throw new IllegalArgumentException("not writable as JSON: " + value, impossible);
    }
  }
}
