package org.limpetring.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.ResultCode;

/**
 * Result of one command.
 *
 * @param code what happened
 * @param lines text for people
 * @param data the same for programs, or null where the lines say all
 */
record Report(ResultCode code, List<String> lines, @Nullable Object data) {

  private static final JsonMapper MAPPER =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  Report {
    lines = List.copyOf(lines);
  }

  /** Report of success. */
  static Report done(String line, @Nullable Object data) {
    return new Report(ResultCode.OK, List.of(line), data);
  }

  /** Report of a failure. */
  static Report error(ResultCode code, String detail) {
    return new Report(code, List.of(detail), null);
  }

  /** Prints the report: success on standard output, failure on standard error. */
  void print(boolean json) {
    if (json) {
      System.out.println(toJson());
      return;
    }
    if (code == ResultCode.OK) {
      lines.forEach(System.out::println);
      return;
    }
    System.err.println("limpetctl: " + code.number() + " " + code.name() + ": " + code.meaning());
    lines.forEach(line -> System.err.println("  " + line));
  }

  private String toJson() {
    try {
      return MAPPER.writeValueAsString(new Printed(code.number(), code.name(), lines, data));
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  private record Printed(int code, String name, List<String> lines, @Nullable Object data) {}
}
