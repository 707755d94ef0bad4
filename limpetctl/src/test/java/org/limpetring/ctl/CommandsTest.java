package org.limpetring.ctl;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.limpetring.base.ResultCode;
import org.limpetring.store.ReadResult;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.store.memory.MemoryObjectStore;
import org.limpetring.tables.ConfigKeys;

final class CommandsTest {

  private static final String POOLS =
      """
      {"pools": [{"name": "p", "supplier": "s", "model": "m", "hosts": ["a"], "port": 9000}]}
      """;

  private final FaultyObjectStore store = new FaultyObjectStore(new MemoryObjectStore());
  private final TableCommands tables = new TableCommands(store);
  private final MarkCommands marks = new MarkCommands(store);

  @TempDir Path directory = Path.of("unused");

  @Test
  void concurrentWriteConflictsAndReportsTheDifference() throws IOException {
    Report first = tables.apply("pools", file(POOLS), "0");
    assertThat(first.code()).isEqualTo(ResultCode.OK);
    Report second = tables.apply("pools", file(POOLS.replace("9000", "9001")), "0");
    assertThat(second.code()).isEqualTo(ResultCode.TABLE_CONFLICT);
    assertThat(second.lines().toString()).contains("9001");
    assertThat(stored()).isEqualTo(POOLS);
  }

  @Test
  void lostResponseIsResolvedByReadingBack() throws IOException {
    store.loseAnswers(1);
    assertThat(tables.apply("pools", file(POOLS), null).code()).isEqualTo(ResultCode.OK);
    assertThat(stored()).isEqualTo(POOLS);
  }

  @Test
  void tableInconsistentWithTheOtherOneIsNotApplied() throws IOException {
    assertThat(tables.apply("pools", file(POOLS), null).code()).isEqualTo(ResultCode.OK);
    String routes = "{\"routes\": [{\"name\": \"r\", \"pathPrefix\": \"/\", \"pool\": \"q\"}]}";
    Report report = tables.apply("routes", file(routes), null);
    assertThat(report.code()).isEqualTo(ResultCode.TABLE_INVALID);
    assertThat(report.lines()).containsExactly("routes:1: /routes/0/pool: no pool is named 'q'");
    assertThat(store.get(ConfigKeys.ROUTES)).isInstanceOf(ReadResult.Missing.class);
  }

  @Test
  void outageIsReportedAsUnavailable() throws IOException {
    store.setDown(true);
    assertThat(tables.apply("pools", file(POOLS), null).code())
        .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    assertThat(marks.takeOut("service/domain/north").code())
        .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
  }

  @Test
  void serviceMarksAreIdempotent() {
    String key = ConfigKeys.DOMAIN_PREFIX + "north";
    assertThat(marks.takeOut(key).code()).isEqualTo(ResultCode.OK);
    assertThat(marks.takeOut(key).code()).isEqualTo(ResultCode.OK);
    assertThat(marks.putBack(key).code()).isEqualTo(ResultCode.OK);
    assertThat(marks.putBack(key).code()).isEqualTo(ResultCode.OK);
    assertThat(store.get(key)).isInstanceOf(ReadResult.Missing.class);
  }

  @ParameterizedTest
  @CsvSource({"--help, 0", "--version, 0", "--nonsense, 2", "apply, 2", "unknown, 2"})
  void commandLinesReturnTheirExitCode(String argument, int exitCode) {
    assertThat(LimpetCtl.run(new String[] {argument})).isEqualTo(exitCode);
  }

  private String file(String text) throws IOException {
    return Files.writeString(directory.resolve("table.json"), text).toString();
  }

  private String stored() {
    return ((ReadResult.Found) store.get(ConfigKeys.POOLS)).object().value();
  }
}
