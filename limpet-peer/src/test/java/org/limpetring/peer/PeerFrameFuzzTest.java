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

/** Feeds frames, broken frames and noise to a transport and compares with a plain reading. */
class PeerFrameFuzzTest {

  private static final long POLL_MS = 2;
  private static final AtomicInteger HANDLED = new AtomicInteger();
  private static NettyPeerTransport server = TestPeers.open("unused", null);
  private static NettyPeerTransport witness = TestPeers.open("w", null);

  @BeforeContainer
  static void open() {
    server.close();
    server = TestPeers.open("s", null);
    server.listen(
        message -> {
          if (!message.getSender().equals("w")) {
            HANDLED.incrementAndGet();
          }
          return TestPeers.ack();
        });
  }

  @AfterContainer
  static void close() {
    server.close();
    witness.close();
  }

  @Property(tries = 300, seed = "7301")
  void frameIsHandledOnlyBeforeTheFirstFault(@ForAll("traffic") List<byte[]> parts)
      throws IOException {
    byte[] bytes = join(parts);
    Reading expected = read(bytes);
    int handledBefore = HANDLED.get();
    double rejectedBefore = rejections();
    try (Socket socket = new Socket("127.0.0.1", server.port())) {
      socket.setSoTimeout(3_000);
      socket.getOutputStream().write(bytes);
      if (expected.faulty) {
        assertThat(endsBeforeTimeout(socket)).isTrue();
      }
      await()
          .untilAsserted(
              () -> {
                assertThat(HANDLED.get() - handledBefore).isEqualTo(expected.frames);
                assertThat(rejections() - rejectedBefore).isEqualTo(expected.faulty ? 1.0 : 0.0);
              });
    }
    assertThat(TestPeers.answers(witness, TestPeers.addressOf(server))).isTrue();
    assertThat(HANDLED.get() - handledBefore).isEqualTo(expected.frames);
    assertThat(rejections() - rejectedBefore).isEqualTo(expected.faulty ? 1.0 : 0.0);
    await().until(() -> server.inboundConnections() <= 1);
  }

  @Provide
  Arbitrary<List<byte[]>> traffic() {
    byte[] good = frame(TestPeers.ping().toByteArray());
    Arbitrary<byte[]> noise = Arbitraries.bytes().array(byte[].class).ofMaxSize(64);
    Arbitrary<byte[]> framedNoise = noise.map(PeerFrameFuzzTest::frame);
    Arbitrary<byte[]> flipped =
        Combinators.combine(Arbitraries.integers().between(0, good.length - 1), Arbitraries.bytes())
            .as(
                (index, mask) -> {
                  byte[] copy = good.clone();
                  copy[index] ^= mask;
                  return copy;
                });
    Arbitrary<byte[]> badLength =
        Arbitraries.of(-1, Integer.MIN_VALUE, Integer.MAX_VALUE, PeerSettings.MAX_FRAME_BYTES + 1)
            .map(length -> ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
    return Arbitraries.frequencyOf(
            net.jqwik.api.Tuple.of(5, Arbitraries.just(good)),
            net.jqwik.api.Tuple.of(1, noise),
            net.jqwik.api.Tuple.of(2, framedNoise),
            net.jqwik.api.Tuple.of(2, flipped),
            net.jqwik.api.Tuple.of(1, badLength))
        .list()
        .ofMaxSize(6);
  }

  private static Reading read(byte[] bytes) {
    ByteBuffer left = ByteBuffer.wrap(bytes);
    int frames = 0;
    while (left.remaining() >= Integer.BYTES) {
      int length = left.getInt();
      if (length < 0 || length > PeerSettings.MAX_FRAME_BYTES) {
        return new Reading(frames, true);
      }
      if (left.remaining() < length) {
        return new Reading(frames, false);
      }
      byte[] body = new byte[length];
      left.get(body);
      try {
        Envelope envelope = Envelope.parseFrom(body);
        if (envelope.getBodyCase() == Envelope.BodyCase.BODY_NOT_SET) {
          return new Reading(frames, true);
        }
        frames += envelope.hasHeartbeat() ? 0 : 1;
      } catch (InvalidProtocolBufferException malformed) {
        return new Reading(frames, true);
      }
    }
    return new Reading(frames, false);
  }

  private static boolean endsBeforeTimeout(Socket socket) {
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

  private static double rejections() {
    double sum = 0;
    for (FrameError error : FrameError.values()) {
      sum += PeerMetrics.REJECTED.labelValues(error.label()).get();
    }
    return sum;
  }

  private static byte[] frame(byte[] body) {
    return ByteBuffer.allocate(Integer.BYTES + body.length).putInt(body.length).put(body).array();
  }

  private static byte[] join(List<byte[]> parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    parts.forEach(all::writeBytes);
    return all.toByteArray();
  }

  private record Reading(int frames, boolean faulty) {}
}
