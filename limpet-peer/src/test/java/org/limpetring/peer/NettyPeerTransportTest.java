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

  private NettyPeerTransport client = TestPeers.open("a", null);
  private NettyPeerTransport server = TestPeers.startResponder("b", null);

  @BeforeEach
  void open() {
    client.close();
    server.close();
    client = TestPeers.open("a", null);
    server = TestPeers.startResponder("b", null);
  }

  @AfterEach
  void close() {
    client.close();
    server.close();
  }

  @Test
  void responseMatchesRequestAndNamesSender() {
    List<CompletableFuture<Envelope>> responses = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      responses.add(client.request(TestPeers.addressOf(server), TestPeers.ping(), 3_000));
    }
    for (CompletableFuture<Envelope> response : responses) {
      assertThat(response.join().getSender()).isEqualTo("b");
    }
    assertThat(server.inboundConnections()).isEqualTo(1);
  }

  @Test
  void closedPortIsReportedAsUnreachable() throws IOException {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    PeerFailure failure =
        TestPeers.failureOf(client, new PeerAddress("127.0.0.1", port), TestPeers.ping());
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
    assertThat(TestPeers.failureOf(client, TestPeers.addressOf(server), large))
        .isEqualTo(PeerFailure.TOO_LARGE);
    assertThat(TestPeers.isReachable(client, TestPeers.addressOf(server))).isTrue();
  }

  @Test
  void silentConnectionIsDroppedAndReopened() throws Exception {
    try (ServerSocket silentPeer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      silentPeer.setSoTimeout(3_000);
      CompletableFuture<Envelope> response =
          client.request(
              new PeerAddress("127.0.0.1", silentPeer.getLocalPort()), TestPeers.ping(), 10_000);
      try (Socket first = silentPeer.accept();
          Socket second = silentPeer.accept()) {
        assertThat(first.getPort()).isNotEqualTo(second.getPort());
        PeerFailure failure =
            response.handle((ignored, thrown) -> ((PeerException) thrown).failure()).join();
        assertThat(failure).isEqualTo(PeerFailure.CONNECTION_LOST);
      }
    }
  }

  @Test
  void queueToNonReadingPeerIsBounded() throws Exception {
    double before = PeerMetrics.DROPPED.labelValues(PeerFailure.QUEUE_FULL.label()).get();
    Envelope large =
        Envelope.newBuilder()
            .setStatePush(
                StatePush.newBuilder()
                    .setPayload(ByteString.copyFrom(new byte[PeerSettings.MAX_FRAME_BYTES / 2])))
            .build();
    try (ServerSocket silentPeer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      PeerAddress address = new PeerAddress("127.0.0.1", silentPeer.getLocalPort());
      for (int count = 0; count < 200; count++) {
        client.send(address, large);
      }
      assertThat(PeerMetrics.DROPPED.labelValues(PeerFailure.QUEUE_FULL.label()).get())
          .isAtLeast(before + 100);
      assertThat(TestPeers.isReachable(client, TestPeers.addressOf(server))).isTrue();
    }
  }

  @Test
  void restartedPeerIsReachedOverNewConnection() {
    PeerAddress address = TestPeers.addressOf(server);
    assertThat(TestPeers.isReachable(client, address)).isTrue();
    server.close();
    assertThat(TestPeers.isReachable(client, address)).isFalse();
    PeerSettings defaults = TestPeers.settings("b2");
    server =
        new NettyPeerTransport(
            new PeerSettings(
                defaults.self(),
                defaults.bindIp(),
                address.port(),
                2_000,
                100,
                300,
                30_000,
                64,
                64,
                2));
    server.listen(message -> TestPeers.ack());
    assertThat(TestPeers.isReachable(client, address)).isTrue();
  }
}
