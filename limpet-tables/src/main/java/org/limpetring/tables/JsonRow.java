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
 * Reads the fields of one JSON object and notes every mistake with its line.
 *
 * <p>Each method returns a usable value even after a mistake, so that reading goes on and finds the
 * next one. {@link #finish()} reports fields that nothing asked for.
 */
public final class JsonRow {

  private final LocatedJson json;
  private final JsonNode node;
  private final String pointer;
  private final List<TableMistake> mistakes;
  private final Set<String> known = new HashSet<>();

  private JsonRow(LocatedJson json, JsonNode node, String pointer, List<TableMistake> mistakes) {
    this.json = json;
    this.node = node;
    this.pointer = pointer;
    this.mistakes = mistakes;
  }

  /** The outermost object; mistakes are added to {@code mistakes}. */
  public static JsonRow root(LocatedJson json, List<TableMistake> mistakes) {
    return new JsonRow(json, json.root(), "", mistakes);
  }

  /** Text that must be there and not be empty. */
  public String text(String field) {
    String value = optionalText(field);
    if (value == null) {
      mistake(field, "is missing");
      return "";
    }
    if (value.isEmpty()) {
      mistake(field, "is empty");
    }
    return value;
  }

  /** Text, or null where the field is absent. */
  public @Nullable String optionalText(String field) {
    JsonNode value = take(field);
    if (value == null) {
      return null;
    }
    if (!value.isTextual()) {
      mistake(field, "must be a string");
      return "";
    }
    return value.textValue();
  }

  /** Identifier that must be there; {@code fallback} stands in for a wrong one. */
  public <T> T name(String field, Function<String, T> type, T fallback) {
    String value = text(field);
    if (Names.isValid(value)) {
      return type.apply(value);
    }
    if (!value.isEmpty()) {
      mistake(field, "is not a valid name");
    }
    return fallback;
  }

  /** Identifiers; an absent list is empty, and a doubled one is a mistake. */
  public <T> List<T> names(String field, Function<String, T> type) {
    Set<T> values = new LinkedHashSet<>();
    for (String value : texts(field)) {
      if (!Names.isValid(value)) {
        mistake(field, "'" + value + "' is not a valid name");
      } else if (!values.add(type.apply(value))) {
        mistake(field, "'" + value + "' stands twice");
      }
    }
    return List.copyOf(values);
  }

  /** Strings; an absent list is empty. */
  public List<String> texts(String field) {
    JsonNode value = take(field);
    if (value == null) {
      return List.of();
    }
    if (!value.isArray()) {
      mistake(field, "must be a list");
      return List.of();
    }
    List<String> values = new ArrayList<>();
    for (JsonNode item : value) {
      if (item.isTextual()) {
        values.add(item.textValue());
      } else {
        mistake(field, "must hold strings only");
      }
    }
    return values;
  }

  /** Whole number from {@code least} to {@code most}; {@code fallback} where absent. */
  public long number(String field, long least, long most, long fallback) {
    JsonNode value = take(field);
    if (value == null) {
      return fallback;
    }
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      mistake(field, "must be a whole number");
      return fallback;
    }
    long number = value.longValue();
    if (number < least || number > most) {
      mistake(field, "must lie between " + least + " and " + most);
      return fallback;
    }
    return number;
  }

  /** True or false; {@code fallback} where absent. */
  public boolean flag(String field, boolean fallback) {
    JsonNode value = take(field);
    if (value == null) {
      return fallback;
    }
    if (!value.isBoolean()) {
      mistake(field, "must be true or false");
      return fallback;
    }
    return value.booleanValue();
  }

  /** Enum constant, spelled in lower case with hyphens. */
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
    List<String> spellings = Arrays.stream(constants).map(JsonRow::spelling).toList();
    mistake(field, "must be one of " + spellings);
    return fallback;
  }

  /** Objects in a list; an absent list is empty. */
  public List<JsonRow> rows(String field) {
    JsonNode value = take(field);
    if (value == null) {
      return List.of();
    }
    if (!value.isArray()) {
      mistake(field, "must be a list");
      return List.of();
    }
    List<JsonRow> rows = new ArrayList<>();
    for (int index = 0; index < value.size(); index++) {
      String place = pointer + "/" + field + "/" + index;
      if (value.get(index).isObject()) {
        rows.add(new JsonRow(json, value.get(index), place, mistakes));
      } else {
        mistake(field + "/" + index, "must be an object");
      }
    }
    return rows;
  }

  /** Object within this one; an absent one reads as empty. */
  public JsonRow row(String field) {
    JsonNode value = take(field);
    if (value != null && !value.isObject()) {
      mistake(field, "must be an object");
    }
    JsonNode inner =
        value != null && value.isObject() ? value : JsonNodeFactory.instance.objectNode();
    return new JsonRow(json, inner, pointer + "/" + field, mistakes);
  }

  /** Whether the field stands in the object. */
  public boolean has(String field) {
    return node.hasNonNull(field);
  }

  /** Notes a mistake at {@code field}. */
  public void mistake(String field, String reason) {
    String place = pointer + "/" + field;
    mistakes.add(new TableMistake(json.source(), json.line(place), place, reason));
  }

  /** Notes each field that nothing asked for. */
  public void finish() {
    Iterator<String> fields = node.fieldNames();
    while (fields.hasNext()) {
      String field = fields.next();
      if (!known.contains(field)) {
        mistake(field, "is unknown");
      }
    }
  }

  private @Nullable JsonNode take(String field) {
    known.add(field);
    JsonNode value = node.get(field);
    return value == null || value.isNull() ? null : value;
  }

  /** Spelling of an enum constant in tables and settings. */
  public static String spelling(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
