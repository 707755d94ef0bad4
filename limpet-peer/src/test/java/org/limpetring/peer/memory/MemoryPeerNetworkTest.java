package org.limpetring.peer.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.limpetring.base.DaemonId;
import org.limpetring.base.ManualClock;
import org.limpetring.peer.PeerAddress;
import org.limpetring.peer.PeerTransport;
import org.limpetring.peer.proto.Ack;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.peer.proto.Ping;

class MemoryPeerNetworkTest {

  private static final PeerAddress ONE = new PeerAddress("10.0.0.1", 1);
  private static final PeerAddress OTHER = new PeerAddress("10.0.0.2", 1);
  private static final Envelope PING =
      Envelope.newBuilder().setPing(Ping.getDefaultInstance()).build();
  private static final Envelope ACK =
      Envelope.newBuilder().setAck(Ack.getDefaultInstance()).build();

  @Test
  void delaysAndCutsApplyPerDirection() {
    MemoryPeerNetwork network = new MemoryPeerNetwork(new ManualClock(0), 1);
    PeerTransport one = startResponder(network, ONE, "a");
    PeerTransport other = startResponder(network, OTHER, "b");
    network.setDelayMs(ONE, OTHER, 30);
    CompletableFuture<Envelope> slow = one.request(OTHER, PING, 100);
    network.advance(30);
    assertThat(slow.isDone()).isFalse();
    network.advance(1);
    assertThat(slow.join().getSender()).isEqualTo("b");

    network.cut(OTHER, ONE);
    CompletableFuture<Envelope> cut = one.request(OTHER, PING, 100);
    CompletableFuture<Envelope> reverse = other.request(ONE, PING, 100);
    network.advance(100);
    assertThat(cut.isCompletedExceptionally()).isTrue();
    assertThat(reverse.isCompletedExceptionally()).isTrue();

    network.healAll();
    CompletableFuture<Envelope> healed = other.request(ONE, PING, 100);
    network.advance(31);
    assertThat(healed.join().getSender()).isEqualTo("a");
  }

  @Test
  void sameSeedLosesTheSameMessages() {
    assertThat(outcomes(7)).isEqualTo(outcomes(7));
    assertThat(outcomes(7)).isNotEqualTo(outcomes(8));
    assertThat(outcomes(7)).containsAtLeast(true, false);
  }

  private static List<Boolean> outcomes(long seed) {
    MemoryPeerNetwork network = new MemoryPeerNetwork(new ManualClock(0), seed);
    PeerTransport one = startResponder(network, ONE, "a");
    PeerTransport unused = startResponder(network, OTHER, "b");
    network.setLossRatio(0.3);
    List<Boolean> successes = new ArrayList<>();
    for (int count = 0; count < 50; count++) {
      CompletableFuture<Envelope> response = one.request(OTHER, PING, 10);
      network.advance(10);
      successes.add(!response.isCompletedExceptionally());
    }
    return successes;
  }

  private static PeerTransport startResponder(
      MemoryPeerNetwork network, PeerAddress address, String name) {
    PeerTransport transport = network.join(new DaemonId(name), address);
    transport.listen(message -> ACK);
    return transport;
  }
}
