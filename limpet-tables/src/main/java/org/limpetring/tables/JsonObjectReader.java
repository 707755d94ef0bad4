package org.limpetring.tables;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Names;

/**
 * Reads the fields of one JSON object and records each validation error with its line.
 *
 * <p>Each method returns a usable value even after an error, so that one pass finds all errors.
 * {@link #rejectUnknownFields()} reports the fields that were never read.
 */
public final class JsonObjectReader {

  private final LocatedJson json;
  private final JsonNode node;
  private final String pointer;
  private final List<ValidationError> errors;
  private final Set<String> readFields = new HashSet<>();

  private JsonObjectReader(
      LocatedJson json, JsonNode node, String pointer, List<ValidationError> errors) {
    this.json = json;
    this.node = node;
    this.pointer = pointer;
    this.errors = errors;
  }

  /** Reader of the root object; validation errors are added to {@code errors}. */
  public static JsonObjectReader root(LocatedJson json, List<ValidationError> errors) {
    return new JsonObjectReader(json, json.root(), "", errors);
  }

  /** Required text that must not be empty. */
  public String text(String field) {
    String value = optionalText(field);
    if (value == null) {
      addError(field, "is missing");
      return "";
    }
    if (value.isEmpty()) {
      addError(field, "is empty");
    }
    return value;
  }

  /** Optional text; null if the field is absent. */
  public @Nullable String optionalText(String field) {
    JsonNode value = readField(field);
    if (value == null) {
      return null;
    }
    if (!value.isTextual()) {
      addError(field, "must be a string");
      return "";
    }
    return value.textValue();
  }

  /** Required identifier; returns {@code fallback} if it is missing or invalid. */
  public <T> T name(String field, Function<String, T> type, T fallback) {
    String value = text(field);
    if (Names.isValid(value)) {
      return type.apply(value);
    }
    if (!value.isEmpty()) {
      addError(field, "is not a valid name");
    }
    return fallback;
  }

  /** List of identifiers; an absent list reads as empty, and duplicates are errors. */
  public <T> List<T> nameList(String field, Function<String, T> type) {
    Set<T> values = new LinkedHashSet<>();
    for (String value : textList(field)) {
      if (!Names.isValid(value)) {
        addError(field, "'" + value + "' is not a valid name");
      } else if (!values.add(type.apply(value))) {
        addError(field, "'" + value + "' is listed twice");
      }
    }
    return List.copyOf(values);
  }

  /** List of strings; an absent list reads as empty. */
  public List<String> textList(String field) {
    JsonNode value = readField(field);
    if (value == null) {
      return List.of();
    }
    if (!value.isArray()) {
      addError(field, "must be a list");
      return List.of();
    }
    List<String> values = new ArrayList<>();
    for (JsonNode item : value) {
      if (item.isTextual()) {
        values.add(item.textValue());
      } else {
        addError(field, "must contain only strings");
      }
    }
    return values;
  }

  /** Integer from {@code min} to {@code max}; {@code fallback} if absent or invalid. */
  public long number(String field, long min, long max, long fallback) {
    JsonNode value = readField(field);
    if (value == null) {
      return fallback;
    }
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      addError(field, "must be an integer");
      return fallback;
    }
    long number = value.longValue();
    if (number < min || number > max) {
      addError(field, "must be between " + min + " and " + max);
      return fallback;
    }
    return number;
  }

  /** Boolean; {@code fallback} if absent or invalid. */
  public boolean flag(String field, boolean fallback) {
    JsonNode value = readField(field);
    if (value == null) {
      return fallback;
    }
    if (!value.isBoolean()) {
      addError(field, "must be true or false");
      return fallback;
    }
    return value.booleanValue();
  }

  /** Enum constant in the spelling of {@link #spelling}; {@code fallback} if absent or invalid. */
  public <E extends Enum<E>> E choice(String field, Class<E> type, E fallback) {
    String value = optionalText(field);
    if (value == null) {
      return fallback;
    }
    E[] constants = type.getEnumConstants();
    for (E constant : constants) {
      if (spelling(constant).equals(value)) {
        return constant;
      }
    }
    List<String> spellings = Arrays.stream(constants).map(JsonObjectReader::spelling).toList();
    addError(field, "must be one of " + spellings);
    return fallback;
  }

  /** Readers of the objects in a list; an absent list reads as empty. */
  public List<JsonObjectReader> objects(String field) {
    JsonNode value = readField(field);
    if (value == null) {
      return List.of();
    }
    if (!value.isArray()) {
      addError(field, "must be a list");
      return List.of();
    }
    List<JsonObjectReader> objects = new ArrayList<>();
    for (int index = 0; index < value.size(); index++) {
      String itemPointer = pointer + "/" + field + "/" + index;
      if (value.get(index).isObject()) {
        objects.add(new JsonObjectReader(json, value.get(index), itemPointer, errors));
      } else {
        addError(field + "/" + index, "must be an object");
      }
    }
    return objects;
  }

  /** Reader of a nested object; an absent one reads as empty. */
  public JsonObjectReader object(String field) {
    JsonNode value = readField(field);
    if (value != null && !value.isObject()) {
      addError(field, "must be an object");
    }
    JsonNode nested =
        value != null && value.isObject() ? value : JsonNodeFactory.instance.objectNode();
    return new JsonObjectReader(json, nested, pointer + "/" + field, errors);
  }

  /** Whether the field is present and not null. */
  public boolean has(String field) {
    return node.hasNonNull(field);
  }

  /** Records a validation error at {@code field}. */
  public void addError(String field, String reason) {
    String errorPointer = pointer + "/" + field;
    errors.add(new ValidationError(json.source(), json.line(errorPointer), errorPointer, reason));
  }

  /** Records an error for each field that was never read. */
  public void rejectUnknownFields() {
    Iterator<String> fields = node.fieldNames();
    while (fields.hasNext()) {
      String field = fields.next();
      if (!readFields.contains(field)) {
        addError(field, "is unknown");
      }
    }
  }

  private @Nullable JsonNode readField(String field) {
    readFields.add(field);
    JsonNode value = node.get(field);
    return value == null || value.isNull() ? null : value;
  }

  /** Spelling of an enum constant in tables and settings: lower case with hyphens. */
  public static String spelling(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
