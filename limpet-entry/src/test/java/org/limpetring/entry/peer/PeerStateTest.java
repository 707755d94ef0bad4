package org.limpetring.entry.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.limpetring.entry.TestData;

final class PeerStateTest {

  private static PeerState state(String name, int inFlight, boolean isSuspected) {
    return new PeerState(
        name,
        "a",
        7,
        3,
        true,
        false,
        List.of(11L, 22L, 33L),
        List.of(new PeerState.Load("h/g/1", inFlight, isSuspected)),
        List.of("y/g/3"),
        List.of("x/g/2"));
  }

  @Test
  void aStateSurvivesTheWire() throws IOException {
    PeerState state = state("d1", 5, true);
    assertThat(PeerState.decode(state.encode())).isEqualTo(state);
  }

  /** Arbitrary bytes are rejected or decoded, never anything else. */
  @Property(tries = 500)
  void arbitraryBytesDoNoHarm(@ForAll byte[] bytes) {
    try {
      assertThat(PeerState.decode(bytes).name()).isNotEmpty();
    } catch (IOException expected) {
      assertThat(expected).hasMessageThat().isNotNull();
    }
  }

  @Test
  void aNamelessStateIsRejected() {
    assertThrows(IOException.class, () -> PeerState.decode(new byte[0]));
  }

  @Test
  void loadsOfDaemonsThatFellSilentCountNoMore() {
    PeerBook book = new PeerBook("own");
    book.onHeard(state("d1", 5, true), TestData.address(1), 0);
    book.onHeard(state("d2", 2, false), TestData.address(2), 2_000);
    assertThat(book.inFlight("h/g/1", 2_100)).isEqualTo(7);
    assertThat(book.isSuspected("h/g/1", 2_100)).isTrue();
    assertThat(book.inFlight("h/g/1", 3_000)).isEqualTo(2);
    assertThat(book.isSuspected("h/g/1", 3_000)).isFalse();
    assertThat(book.knownCount()).isEqualTo(3);
  }

  @Test
  void aRestartedDaemonIsHeardAtItsNewAddress() {
    PeerBook book = new PeerBook("own");
    book.onListed("d1", TestData.address(1));
    book.onListed("own", TestData.address(9));
    book.onHeard(state("d1", 1, false), TestData.address(5), 0);
    assertThat(book.addresses()).containsExactly(TestData.address(5));
  }
}
