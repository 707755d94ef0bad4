package org.limpetring.tables;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parsed JSON with comments that keeps the line number of each field for error messages. */
public final class LocatedJson {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .build();

  private final String source;
  private final JsonNode root;
  private final Map<String, Integer> lines;

  private LocatedJson(String source, JsonNode root, Map<String, Integer> lines) {
    this.source = source;
    this.root = root;
    this.lines = lines;
  }

  /** Parses {@code text}; {@code source} names it in validation errors. */
  public static Validation<LocatedJson> parse(String source, String text) {
    try {
      JsonNode root = MAPPER.readTree(text);
      if (root == null || !root.isObject()) {
        return invalid(source, 1, "the root must be an object");
      }
      return new Validation.Valid<>(new LocatedJson(source, root, readLines(text)));
    } catch (JsonProcessingException malformed) {
      int line = malformed.getLocation() == null ? 0 : malformed.getLocation().getLineNr();
      return invalid(source, line, malformed.getOriginalMessage());
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /** Name of the source, as given to {@link #parse}. */
  public String source() {
    return source;
  }

  /** The root object. */
  public JsonNode root() {
    return root;
  }

  /** Line of the field at a JSON pointer, or of its nearest ancestor that is present. */
  public int line(String pointer) {
    String known = pointer;
    while (!lines.containsKey(known) && !known.isEmpty()) {
      known = known.substring(0, known.lastIndexOf('/'));
    }
    return lines.getOrDefault(known, 1);
  }

  private static Map<String, Integer> readLines(String text) throws IOException {
    Map<String, Integer> lines = new HashMap<>();
    try (JsonParser parser = MAPPER.getFactory().createParser(text)) {
      JsonToken token = parser.nextToken();
      while (token != null) {
        String pointer = parser.getParsingContext().pathAsPointer().toString();
        lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
        token = parser.nextToken();
      }
    }
    return lines;
  }

  private static Validation<LocatedJson> invalid(String source, int line, String reason) {
    return new Validation.Invalid<>(List.of(new ValidationError(source, line, "", reason)));
  }
}
