package org.limpetring.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.pkitesting.X509Bundle;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeerTlsTest {

  private static final long REREAD_MS = 50;
  private static final long NO_REREAD_MS = 3_600_000;

  private final AtomicInteger handled = new AtomicInteger();
  private X509Bundle authority = TestIdentity.authority("peers");
  private NettyPeerTransport server = TestPeers.open("unused", null);

  @TempDir Path directory = Path.of("unused");

  @BeforeEach
  void open() throws Exception {
    server.close();
    server = listening("s", files("s", authority, authority.getCertificatePEM(), REREAD_MS));
  }

  @AfterEach
  void close() {
    server.close();
  }

  @Test
  void certificateOfTheSameAuthorityIsServed() throws Exception {
    assertThat(served(files("c", authority, authority.getCertificatePEM(), NO_REREAD_MS))).isTrue();
  }

  @Test
  void foreignClientIsRefusedAndCounted() throws Exception {
    X509Bundle foreign = TestIdentity.authority("foreign");
    double before = refusals();
    assertThat(served(files("c", foreign, authority.getCertificatePEM(), NO_REREAD_MS))).isFalse();
    Awaitility.await().until(() -> refusals() > before);
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void foreignServerIsRefusedByTheClient() throws Exception {
    X509Bundle foreign = TestIdentity.authority("foreign");
    assertThat(served(files("c", authority, foreign.getCertificatePEM(), NO_REREAD_MS))).isFalse();
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void clientWithoutTlsIsRefused() {
    double before = refusals();
    assertThat(served(null)).isFalse();
    Awaitility.await().until(() -> refusals() > before);
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void rotationKeepsOpenConnectionsAndRefusesTheOldAuthorityOnNewOnes() throws Exception {
    PeerTls oldFiles = files("old", authority, authority.getCertificatePEM(), NO_REREAD_MS);
    X509Bundle next = TestIdentity.authority("next");
    PeerAddress address = TestPeers.addressOf(server);
    NettyPeerTransport running = TestPeers.open("old", oldFiles);
    try {
      assertThat(TestPeers.answers(running, address)).isTrue();
      files("s", next, next.getCertificatePEM(), REREAD_MS);
      PeerTls newFiles = files("new", next, next.getCertificatePEM(), NO_REREAD_MS);
      Awaitility.await().until(() -> served(newFiles));
      assertThat(served(oldFiles)).isFalse();
      assertThat(TestPeers.answers(running, address)).isTrue();
    } finally {
      running.close();
    }
  }

  @Test
  void unusableFilesAreCountedAndChangeNothing() throws Exception {
    PeerTls other = files("other", authority, authority.getCertificatePEM(), NO_REREAD_MS);
    String key = Files.readString(directory.resolve("s.key"));
    for (String unusable :
        List.of(
            "", "no key", key.substring(0, key.length() / 2), Files.readString(other.keyFile()))) {
      Files.writeString(directory.resolve("s.key"), unusable);
      double before = PeerMetrics.REJECTED.labelValues("tls_files").get();
      Awaitility.await()
          .until(() -> PeerMetrics.REJECTED.labelValues("tls_files").get() > before + 1);
      assertThat(served(other)).isTrue();
    }
  }

  private boolean served(@Nullable PeerTls tls) {
    NettyPeerTransport client = TestPeers.open("c", tls);
    try {
      return TestPeers.answers(client, TestPeers.addressOf(server));
    } finally {
      client.close();
    }
  }

  private NettyPeerTransport listening(String name, PeerTls tls) {
    NettyPeerTransport transport = TestPeers.open(name, tls);
    transport.listen(
        message -> {
          handled.incrementAndGet();
          return TestPeers.ack();
        });
    return transport;
  }

  private PeerTls files(String name, X509Bundle issuer, String trustedPem, long rereadMs)
      throws Exception {
    return TestIdentity.files(directory, name, issuer, trustedPem, rereadMs);
  }

  private static double refusals() {
    return PeerMetrics.REJECTED.labelValues(FrameError.TLS_REFUSED.label()).get();
  }
}
