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

/** JSON with comments whose fields remember the line that they stand on. */
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

  /** Parses {@code text}; {@code source} names it in mistakes. */
  public static Checked<LocatedJson> parse(String source, String text) {
    try {
      JsonNode root = MAPPER.readTree(text);
      if (root == null || !root.isObject()) {
        return invalid(source, 1, "an object is expected");
      }
      return new Checked.Valid<>(new LocatedJson(source, root, readLines(text)));
    } catch (JsonProcessingException malformed) {
      int line = malformed.getLocation() == null ? 0 : malformed.getLocation().getLineNr();
      return invalid(source, line, malformed.getOriginalMessage());
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /** Name given to {@link #parse}. */
  public String source() {
    return source;
  }

  /** The outermost object. */
  public JsonNode root() {
    return root;
  }

  /** Line of the field at a JSON pointer, or of its nearest parent. */
  public int line(String pointer) {
    String place = pointer;
    while (!lines.containsKey(place) && !place.isEmpty()) {
      place = place.substring(0, place.lastIndexOf('/'));
    }
    return lines.getOrDefault(place, 1);
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

  private static Checked<LocatedJson> invalid(String source, int line, String reason) {
    return new Checked.Invalid<>(List.of(new TableMistake(source, line, "", reason)));
  }
}
