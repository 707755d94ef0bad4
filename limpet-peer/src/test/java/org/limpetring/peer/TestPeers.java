package org.limpetring.peer;

import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.peer.proto.Ack;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.peer.proto.Ping;

/** Transports on the loopback interface with short deadlines. */
final class TestPeers {

  static final long TIMEOUT_MS = 3_000;

  private TestPeers() {}

  static NettyPeerTransport open(String name, @Nullable PeerTls tls) {
    return new NettyPeerTransport(settings(name), tls);
  }

  /** Transport that answers each ping with an acknowledgement. */
  static NettyPeerTransport answering(String name, @Nullable PeerTls tls) {
    NettyPeerTransport transport = open(name, tls);
    transport.listen(message -> message.hasPing() ? ack() : null);
    return transport;
  }

  static PeerSettings settings(String name) {
    return new PeerSettings(new DaemonId(name), "127.0.0.1", 0, 2_000, 100, 300, 30_000, 64, 64, 2);
  }

  static PeerAddress addressOf(NettyPeerTransport transport) {
    return new PeerAddress("127.0.0.1", transport.port());
  }

  static Envelope ping() {
    return Envelope.newBuilder().setPing(Ping.newBuilder().setTarget("b")).build();
  }

  static Envelope ack() {
    return Envelope.newBuilder().setAck(Ack.newBuilder().setReached(true)).build();
  }

  /** Whether a ping is answered in time. */
  static boolean answers(PeerTransport from, PeerAddress to) {
    return failureOf(from, to, ping()) == null;
  }

  /** Why a request has no response; null where it has one. */
  static @Nullable PeerFailure failureOf(PeerTransport from, PeerAddress to, Envelope request) {
    return from.request(to, request, TIMEOUT_MS)
        .handle(
            (response, failure) -> failure instanceof PeerException known ? known.failure() : null)
        .join();
  }
}
