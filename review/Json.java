import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: objects are maps, arrays are lists, numbers are Long or Double. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    return json.value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(Object value) {
    return (Map<String, Object>) value;
  }

  /** Builds an object from alternating names and values. */
  static Map<String, Object> object(String name, Object value, Object... more) {
    Map<String, Object> object = new LinkedHashMap<>();
    object.put(name, value);
    for (int i = 0; i < more.length; i += 2) {
      object.put((String) more[i], more[i + 1]);
    }
    return object;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object item : list) {
        out.append(separator);
        write(item, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"').append(string.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
    } else {
      out.append(value);
    }
  }

  private Object value() {
    skipSpace();
    char next = text.charAt(at);
    if (next == '{') {
      return objectValue();
    }
    if (next == '[') {
      return listValue();
    }
    if (next == '"') {
      return stringValue();
    }
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private Map<String, Object> objectValue() {
    Map<String, Object> object = new LinkedHashMap<>();
    at++;
    skipSpace();
    while (text.charAt(at) != '}') {
      String name = stringValue();
      skipSpace();
      at++;
      object.put(name, value());
      skipSpace();
      if (text.charAt(at) == ',') {
        at++;
        skipSpace();
      }
    }
    at++;
    return object;
  }

  private List<Object> listValue() {
    List<Object> list = new ArrayList<>();
    at++;
    skipSpace();
    while (text.charAt(at) != ']') {
      list.add(value());
      skipSpace();
      if (text.charAt(at) == ',') {
        at++;
        skipSpace();
      }
    }
    at++;
    return list;
  }

  private String stringValue() {
    StringBuilder string = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char next = text.charAt(at++);
      if (next == '\\') {
        char escaped = text.charAt(at++);
        switch (escaped) {
          case 'n' -> string.append('\n');
          case 't' -> string.append('\t');
          case 'r' -> string.append('\r');
          case 'u' -> {
            string.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> string.append(escaped);
        }
      } else {
        string.append(next);
      }
    }
    at++;
    return string.toString();
  }

  private void skipSpace() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }
}
