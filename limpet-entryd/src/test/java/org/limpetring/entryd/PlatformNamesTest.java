package org.limpetring.entryd;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The platform's names occur in the adapter module only. */
final class PlatformNamesTest {

  private static final Pattern PLATFORM_NAMES =
      Pattern.compile(
          "X-Limpetring-|/api/(objects|order|report|ready)|LIMPETRING_CONFIG|cold_left_ms"
              + "|store_revision|At-Server|kv_used|api_keys");

  @Test
  void platformNamesDoNotOccurOutsideAdapter() throws IOException {
    List<String> found = new ArrayList<>();
    try (Stream<Path> files = Files.walk(Path.of(".."))) {
      List<Path> sources =
          files
              .filter(file -> file.toString().contains("/src/main/"))
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> !file.startsWith(Path.of("..", "platform")))
              .toList();
      for (Path source : sources) {
        int lineNumber = 0;
        for (String line : Files.readAllLines(source)) {
          lineNumber++;
          if (PLATFORM_NAMES.matcher(line).find()) {
            found.add(source + ":" + lineNumber);
          }
        }
      }
    }
    assertThat(found).isEmpty();
  }
}
