package org.limpetring.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetring.base.LogEvent;
import org.limpetring.base.ResultCode;

/** The tables of result codes and events in the documents match the enums in the code. */
final class DocumentsTest {

  @Test
  void resultCodesAreDocumented() throws IOException {
    List<String> expected =
        Arrays.stream(ResultCode.values())
            .map(
                code ->
                    "| %d | `%s` | %d | %s | %s | %s |"
                        .formatted(
                            code.number(),
                            code.name(),
                            code.httpStatus(),
                            code.runState().label(),
                            code.retry().label(),
                            code.meaning()))
            .toList();
    assertThat(rows("RESULT-CODES.md")).isEqualTo(expected);
  }

  @Test
  void eventsAreDocumented() throws IOException {
    List<String> expected =
        Arrays.stream(LogEvent.values())
            .map(
                event ->
                    "| %d | `%s` | %s | %s |"
                        .formatted(event.number(), event.name(), event.level(), event.format()))
            .toList();
    assertThat(rows("EVENTS.md")).isEqualTo(expected);
  }

  @Test
  void numbersAreUnique() {
    assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number).toList())
        .containsNoDuplicates();
    assertThat(Arrays.stream(LogEvent.values()).map(LogEvent::number).toList())
        .containsNoDuplicates();
  }

  private static List<String> rows(String document) throws IOException {
    return Files.readAllLines(Path.of("..", "docs", document)).stream()
        .filter(line -> line.matches("\\| \\d+ .*"))
        .toList();
  }
}
