package org.limpetring.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionFactory;
import org.limpetring.peer.proto.Envelope;

/** Sends valid, corrupted and random frames to a transport and compares with a reference parser. */
class PeerFrameFuzzTest {

  private static final long POLL_MS = 2;
  private static final AtomicInteger HANDLED_MESSAGES = new AtomicInteger();
  private static NettyPeerTransport server = TestPeers.open("unused", null);
  private static NettyPeerTransport probeClient = TestPeers.open("w", null);

  @BeforeContainer
  static void open() {
    server.close();
    server = TestPeers.open("s", null);
    server.listen(
        message -> {
          if (!message.getSender().equals("w")) {
            HANDLED_MESSAGES.incrementAndGet();
          }
          return TestPeers.ack();
        });
  }

  @AfterContainer
  static void close() {
    server.close();
    probeClient.close();
  }

  @Property(tries = 300, seed = "7301")
  void framesAreHandledOnlyBeforeFirstInvalidFrame(@ForAll("traffic") List<byte[]> chunks)
      throws IOException {
    byte[] bytes = concatenate(chunks);
    ExpectedOutcome expected = parseReference(bytes);
    int handledBefore = HANDLED_MESSAGES.get();
    double rejectedBefore = rejectedCount();
    try (Socket socket = new Socket("127.0.0.1", server.port())) {
      socket.setSoTimeout(3_000);
      socket.getOutputStream().write(bytes);
      if (expected.hasInvalidFrame) {
        assertThat(isClosedBeforeTimeout(socket)).isTrue();
      }
      await()
          .untilAsserted(
              () -> {
                assertThat(HANDLED_MESSAGES.get() - handledBefore)
                    .isEqualTo(expected.handledMessages);
                assertThat(rejectedCount() - rejectedBefore)
                    .isEqualTo(expected.hasInvalidFrame ? 1.0 : 0.0);
              });
    }
    assertThat(TestPeers.isReachable(probeClient, TestPeers.addressOf(server))).isTrue();
    assertThat(HANDLED_MESSAGES.get() - handledBefore).isEqualTo(expected.handledMessages);
    assertThat(rejectedCount() - rejectedBefore).isEqualTo(expected.hasInvalidFrame ? 1.0 : 0.0);
    await().until(() -> server.inboundConnections() <= 1);
  }

  @Provide
  Arbitrary<List<byte[]>> traffic() {
    byte[] validFrame = frame(TestPeers.ping().toByteArray());
    Arbitrary<byte[]> randomBytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(64);
    Arbitrary<byte[]> framedRandomBytes = randomBytes.map(PeerFrameFuzzTest::frame);
    Arbitrary<byte[]> corruptedFrame =
        Combinators.combine(
                Arbitraries.integers().between(0, validFrame.length - 1), Arbitraries.bytes())
            .as(
                (index, mask) -> {
                  byte[] corrupted = validFrame.clone();
                  corrupted[index] ^= mask;
                  return corrupted;
                });
    Arbitrary<byte[]> invalidLength =
        Arbitraries.of(-1, Integer.MIN_VALUE, Integer.MAX_VALUE, PeerSettings.MAX_FRAME_BYTES + 1)
            .map(length -> ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
    return Arbitraries.frequencyOf(
            net.jqwik.api.Tuple.of(5, Arbitraries.just(validFrame)),
            net.jqwik.api.Tuple.of(1, randomBytes),
            net.jqwik.api.Tuple.of(2, framedRandomBytes),
            net.jqwik.api.Tuple.of(2, corruptedFrame),
            net.jqwik.api.Tuple.of(1, invalidLength))
        .list()
        .ofMaxSize(6);
  }

  private static ExpectedOutcome parseReference(byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    int handledMessages = 0;
    while (buffer.remaining() >= Integer.BYTES) {
      int length = buffer.getInt();
      if (length < 0 || length > PeerSettings.MAX_FRAME_BYTES) {
        return new ExpectedOutcome(handledMessages, true);
      }
      if (buffer.remaining() < length) {
        return new ExpectedOutcome(handledMessages, false);
      }
      byte[] body = new byte[length];
      buffer.get(body);
      try {
        Envelope envelope = Envelope.parseFrom(body);
        if (envelope.getBodyCase() == Envelope.BodyCase.BODY_NOT_SET) {
          return new ExpectedOutcome(handledMessages, true);
        }
        handledMessages += envelope.hasHeartbeat() ? 0 : 1;
      } catch (InvalidProtocolBufferException malformed) {
        return new ExpectedOutcome(handledMessages, true);
      }
    }
    return new ExpectedOutcome(handledMessages, false);
  }

  private static boolean isClosedBeforeTimeout(Socket socket) {
    try {
      while (socket.getInputStream().read() >= 0) {
        continue;
      }
      return true;
    } catch (java.net.SocketTimeoutException stillOpen) {
      return false;
    } catch (IOException reset) {
      return true;
    }
  }

  private static ConditionFactory await() {
    return Awaitility.await().pollDelay(Duration.ZERO).pollInterval(Duration.ofMillis(POLL_MS));
  }

  private static double rejectedCount() {
    double sum = 0;
    for (FrameError error : FrameError.values()) {
      sum += PeerMetrics.REJECTED.labelValues(error.label()).get();
    }
    return sum;
  }

  private static byte[] frame(byte[] body) {
    return ByteBuffer.allocate(Integer.BYTES + body.length).putInt(body.length).put(body).array();
  }

  private static byte[] concatenate(List<byte[]> chunks) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    chunks.forEach(all::writeBytes);
    return all.toByteArray();
  }

  private record ExpectedOutcome(int handledMessages, boolean hasInvalidFrame) {}
}
