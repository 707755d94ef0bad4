package org.limpetring.daemon.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.limpetring.tables.Validation;
import org.limpetring.tables.ValidationError;

final class SettingsReaderTest {

  private static final String VALID =
      """
      { // one daemon
        "name": "d", "address": "127.0.0.1", "callerPort": 7300, "adminPort": 7301,
        "peerPort": 7302, "failureDomain": "north", "platformUrl": "http://127.0.0.1:7100"
      }
      """;

  @Test
  void validSettingsAreRead() {
    assertThat(SettingsReader.read(VALID)).isInstanceOf(Validation.Valid.class);
  }

  @Test
  void allMistakesAreReportedTogether() {
    String invalid =
        VALID
            .replace("7300", "70000")
            .replace("\"north\"", "\"no rth\"")
            .replace("\"name\"", "\"nam\"");
    List<ValidationError> errors =
        ((Validation.Invalid<DaemonSettings>) SettingsReader.read(invalid)).errors();
    assertThat(errors.stream().map(ValidationError::field))
        .containsExactly("/name", "/callerPort", "/failureDomain", "/nam");
  }

  @Property(seed = "7")
  void arbitraryTextIsRejectedWithoutAnException(@ForAll String text) {
    assertThat(SettingsReader.read(text)).isInstanceOf(Validation.Invalid.class);
  }
}
