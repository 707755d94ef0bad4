package org.limpetring.peer;

import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.peer.proto.Ack;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.peer.proto.Ping;

/** Creates transports on the loopback interface with short timeouts. */
final class TestPeers {

  static final long TIMEOUT_MS = 3_000;

  private TestPeers() {}

  static NettyPeerTransport open(String name, @Nullable PeerTls tls) {
    return new NettyPeerTransport(settings(name), tls);
  }

  /** Opens a transport that acknowledges each ping. */
  static NettyPeerTransport startResponder(String name, @Nullable PeerTls tls) {
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

  /** Returns whether a ping is acknowledged within the timeout. */
  static boolean isReachable(PeerTransport from, PeerAddress to) {
    return failureOf(from, to, ping()) == null;
  }

  /** Returns why a request has no response, or null if it has one. */
  static @Nullable PeerFailure failureOf(PeerTransport from, PeerAddress to, Envelope request) {
    return from.request(to, request, TIMEOUT_MS)
        .handle(
            (response, failure) -> failure instanceof PeerException known ? known.failure() : null)
        .join();
  }
}
