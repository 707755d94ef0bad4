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
 * @param code result code of the command
 * @param lines human-readable lines
 * @param data machine-readable result, or null if the lines are sufficient
 */
record Report(ResultCode code, List<String> lines, @Nullable Object data) {

  private static final JsonMapper MAPPER =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  Report {
    lines = List.copyOf(lines);
  }

  /** Report of a successful command. */
  static Report success(String line, @Nullable Object data) {
    return new Report(ResultCode.OK, List.of(line), data);
  }

  /** Report of a failed command. */
  static Report error(ResultCode code, String detail) {
    return new Report(code, List.of(detail), null);
  }

  /** Prints JSON or a success on standard output, a failure as text on standard error. */
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
