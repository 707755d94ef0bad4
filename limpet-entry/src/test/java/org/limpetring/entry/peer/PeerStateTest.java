package org.limpetring.entry.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.limpetring.entry.TestData;

final class PeerStateTest {

  private static PeerState state(String name, int inFlight, boolean isSuspected) {
    return state(name, inFlight, isSuspected, null);
  }

  private static PeerState state(
      String name, int inFlight, boolean isSuspected, PeerState.@Nullable FleetLoad fleet) {
    return new PeerState(
        name,
        "a",
        7,
        3,
        fleet != null,
        false,
        false,
        List.of(11L, 22L, 33L),
        List.of(load(inFlight, isSuspected)),
        List.of("y/g/3"),
        List.of("x/g/2"),
        fleet);
  }

  private static PeerState.Load load(int inFlight, boolean isSuspected) {
    return new PeerState.Load(PeerState.endpointHash("h/g/1"), inFlight, isSuspected);
  }

  @Test
  void aStateSurvivesTheWire() throws IOException {
    PeerState state = state("d1", 5, true);
    assertThat(PeerState.decode(state.encode())).isEqualTo(state);
    PeerState planner =
        state("d2", 5, true, new PeerState.FleetLoad(80, List.of(load(300, false))));
    assertThat(PeerState.decode(planner.encode())).isEqualTo(planner);
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
    PeerRegistry book = new PeerRegistry("own");
    book.onReceived(state("d1", 5, true), TestData.address(1), 0);
    book.onReceived(state("d2", 2, false), TestData.address(2), 2_000);
    book.aggregateLoads(2_100);
    assertThat(book.inFlight("h/g/1")).isEqualTo(7);
    assertThat(book.isSuspected("h/g/1")).isTrue();
    book.aggregateLoads(3_000);
    assertThat(book.inFlight("h/g/1")).isEqualTo(2);
    assertThat(book.isSuspected("h/g/1")).isFalse();
    assertThat(book.knownCount()).isEqualTo(3);
  }

  /** One of 80 daemons hears the planner only, and knows what the other 79 carry. */
  @Test
  void thePlannersSumsStandForAllDaemons() {
    PeerRegistry book = new PeerRegistry("own");
    book.onAnnounced(List.of(load(2, false)));
    PeerState.FleetLoad fleet = new PeerState.FleetLoad(80, List.of(load(12, true)));
    book.onReceived(state("planner", 1, false, fleet), TestData.address(1), 0);
    book.aggregateLoads(100);
    assertThat(book.inFlight("h/g/1")).isEqualTo(10);
    assertThat(book.isSuspected("h/g/1")).isTrue();
    assertThat(book.aliveCount(100)).isEqualTo(80);
    assertThat(book.plannerAddress(450, 100)).isEqualTo(TestData.address(1));
    assertThat(book.plannerAddress(450, 500)).isNull();
    book.setPlanner(true);
    book.aggregateLoads(100);
    assertThat(book.inFlight("h/g/1")).isEqualTo(1);
    assertThat(book.fleetLoad(List.of(load(4, false)), 100))
        .isEqualTo(new PeerState.FleetLoad(2, List.of(load(5, false))));
  }

  @Test
  void daemonsAreToldInTurn() {
    PeerRegistry book = new PeerRegistry("own");
    Set<InetSocketAddress> told = new HashSet<>();
    for (int i = 1; i <= 40; i++) {
      book.onListed("d" + i, TestData.address(i));
    }
    for (int round = 0; round < 3; round++) {
      told.addAll(book.nextAddresses(16));
    }
    assertThat(told).hasSize(40);
  }

  @Test
  void aRestartedDaemonIsHeardAtItsNewAddress() {
    PeerRegistry book = new PeerRegistry("own");
    book.onListed("d1", TestData.address(1));
    book.onListed("own", TestData.address(9));
    book.onReceived(state("d1", 1, false), TestData.address(5), 0);
    assertThat(book.addresses()).containsExactly(TestData.address(5));
  }
}
