package org.limpetring.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.peer.proto.StatePush;

class NettyPeerTransportTest {

  private NettyPeerTransport one = TestPeers.open("a", null);
  private NettyPeerTransport other = TestPeers.answering("b", null);

  @BeforeEach
  void open() {
    one.close();
    other.close();
    one = TestPeers.open("a", null);
    other = TestPeers.answering("b", null);
  }

  @AfterEach
  void close() {
    one.close();
    other.close();
  }

  @Test
  void responseReturnsToItsRequestAndNamesItsSender() {
    List<CompletableFuture<Envelope>> responses = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      responses.add(one.request(TestPeers.addressOf(other), TestPeers.ping(), 3_000));
    }
    for (CompletableFuture<Envelope> response : responses) {
      assertThat(response.join().getSender()).isEqualTo("b");
    }
    assertThat(other.inboundConnections()).isEqualTo(1);
  }

  @Test
  void closedPortIsUnreachableAndNothingMayHaveArrived() throws IOException {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    PeerFailure failure =
        TestPeers.failureOf(one, new PeerAddress("127.0.0.1", port), TestPeers.ping());
    assertThat(failure).isEqualTo(PeerFailure.UNREACHABLE);
  }

  @Test
  void oversizedRequestIsNotSent() {
    Envelope large =
        Envelope.newBuilder()
            .setStatePush(
                StatePush.newBuilder()
                    .setPayload(ByteString.copyFrom(new byte[PeerSettings.MAX_FRAME_BYTES])))
            .build();
    assertThat(TestPeers.failureOf(one, TestPeers.addressOf(other), large))
        .isEqualTo(PeerFailure.TOO_LARGE);
    assertThat(TestPeers.answers(one, TestPeers.addressOf(other))).isTrue();
  }

  @Test
  void silentConnectionIsDroppedAndTheAddressTriedAnew() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      silent.setSoTimeout(3_000);
      CompletableFuture<Envelope> response =
          one.request(
              new PeerAddress("127.0.0.1", silent.getLocalPort()), TestPeers.ping(), 10_000);
      try (Socket first = silent.accept();
          Socket second = silent.accept()) {
        assertThat(first.getPort()).isNotEqualTo(second.getPort());
        PeerFailure failure =
            response.handle((done, thrown) -> ((PeerException) thrown).failure()).join();
        assertThat(failure).isEqualTo(PeerFailure.CONNECTION_LOST);
      }
    }
  }

  @Test
  void queueTowardsAPeerThatDoesNotReadIsBounded() throws Exception {
    double before = PeerMetrics.DROPPED.labelValues(PeerFailure.QUEUE_FULL.label()).get();
    Envelope large =
        Envelope.newBuilder()
            .setStatePush(
                StatePush.newBuilder()
                    .setPayload(ByteString.copyFrom(new byte[PeerSettings.MAX_FRAME_BYTES / 2])))
            .build();
    try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      PeerAddress address = new PeerAddress("127.0.0.1", silent.getLocalPort());
      for (int count = 0; count < 200; count++) {
        one.send(address, large);
      }
      assertThat(PeerMetrics.DROPPED.labelValues(PeerFailure.QUEUE_FULL.label()).get())
          .isAtLeast(before + 100);
      assertThat(TestPeers.answers(one, TestPeers.addressOf(other))).isTrue();
    }
  }

  @Test
  void restartedPeerIsReachedOverANewConnection() {
    PeerAddress address = TestPeers.addressOf(other);
    assertThat(TestPeers.answers(one, address)).isTrue();
    other.close();
    assertThat(TestPeers.answers(one, address)).isFalse();
    PeerSettings same = TestPeers.settings("b2");
    other =
        new NettyPeerTransport(
            new PeerSettings(
                same.self(), same.bindIp(), address.port(), 2_000, 100, 300, 30_000, 64, 64, 2));
    other.listen(message -> TestPeers.ack());
    assertThat(TestPeers.answers(one, address)).isTrue();
  }
}
