package org.limpetring.daemon.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ChatBodyTest {

  @Test
  void topLevelFieldsAreRead() throws IOException {
    String body = "{\"a\":{\"model\":\"x\"},\"model\":\"m\",\"stream\":true,\"max_tokens\":7}";
    assertThat(ChatBody.read(body.getBytes(StandardCharsets.UTF_8)))
        .isEqualTo(new ChatBody("m", true, 7));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "[]", "{", "{} {}", "null", "{\"model\":}"})
  void bodiesOtherThanOneObjectAreRejected(String body) {
    assertThrows(IOException.class, () -> ChatBody.read(body.getBytes(StandardCharsets.UTF_8)));
  }

  @Property(seed = "3")
  void arbitraryBytesAreReadOrRejected(@ForAll byte[] body) {
    try {
      assertThat(ChatBody.read(body)).isNotNull();
    } catch (IOException rejected) {
      assertThat(rejected).isNotNull();
    }
  }
}
