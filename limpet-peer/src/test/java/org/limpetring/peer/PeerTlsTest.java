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

  private static final long RELOAD_INTERVAL_MS = 50;
  private static final long NO_RELOAD_INTERVAL_MS = 3_600_000;

  private final AtomicInteger handled = new AtomicInteger();
  private X509Bundle authority = TestIdentity.newAuthority("peers");
  private NettyPeerTransport server = TestPeers.open("unused", null);

  @TempDir Path directory = Path.of("unused");

  @BeforeEach
  void open() throws Exception {
    server.close();
    server =
        startServer(
            "s", writeFiles("s", authority, authority.getCertificatePEM(), RELOAD_INTERVAL_MS));
  }

  @AfterEach
  void close() {
    server.close();
  }

  @Test
  void clientOfSameAuthorityIsAccepted() throws Exception {
    assertThat(
            canConnect(
                writeFiles("c", authority, authority.getCertificatePEM(), NO_RELOAD_INTERVAL_MS)))
        .isTrue();
  }

  @Test
  void clientOfForeignAuthorityIsRejectedAndCounted() throws Exception {
    X509Bundle foreign = TestIdentity.newAuthority("foreign");
    double before = tlsRejections();
    assertThat(
            canConnect(
                writeFiles("c", foreign, authority.getCertificatePEM(), NO_RELOAD_INTERVAL_MS)))
        .isFalse();
    Awaitility.await().until(() -> tlsRejections() > before);
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void clientRejectsServerOfForeignAuthority() throws Exception {
    X509Bundle foreign = TestIdentity.newAuthority("foreign");
    assertThat(
            canConnect(
                writeFiles("c", authority, foreign.getCertificatePEM(), NO_RELOAD_INTERVAL_MS)))
        .isFalse();
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void clientWithoutTlsIsRejected() {
    double before = tlsRejections();
    assertThat(canConnect(null)).isFalse();
    Awaitility.await().until(() -> tlsRejections() > before);
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void rotationKeepsOpenConnectionsAndRejectsOldAuthorityOnNewOnes() throws Exception {
    PeerTls oldFiles =
        writeFiles("old", authority, authority.getCertificatePEM(), NO_RELOAD_INTERVAL_MS);
    X509Bundle newAuthority = TestIdentity.newAuthority("next");
    PeerAddress address = TestPeers.addressOf(server);
    NettyPeerTransport oldClient = TestPeers.open("old", oldFiles);
    try {
      assertThat(TestPeers.isReachable(oldClient, address)).isTrue();
      writeFiles("s", newAuthority, newAuthority.getCertificatePEM(), RELOAD_INTERVAL_MS);
      PeerTls newFiles =
          writeFiles("new", newAuthority, newAuthority.getCertificatePEM(), NO_RELOAD_INTERVAL_MS);
      Awaitility.await().until(() -> canConnect(newFiles));
      assertThat(canConnect(oldFiles)).isFalse();
      assertThat(TestPeers.isReachable(oldClient, address)).isTrue();
    } finally {
      oldClient.close();
    }
  }

  @Test
  void invalidFilesAreCountedAndKeepCurrentContexts() throws Exception {
    PeerTls other =
        writeFiles("other", authority, authority.getCertificatePEM(), NO_RELOAD_INTERVAL_MS);
    String key = Files.readString(directory.resolve("s.key"));
    for (String invalidContent :
        List.of(
            "", "no key", key.substring(0, key.length() / 2), Files.readString(other.keyFile()))) {
      Files.writeString(directory.resolve("s.key"), invalidContent);
      double before = PeerMetrics.REJECTED.labelValues("tls_files").get();
      Awaitility.await()
          .until(() -> PeerMetrics.REJECTED.labelValues("tls_files").get() > before + 1);
      assertThat(canConnect(other)).isTrue();
    }
  }

  private boolean canConnect(@Nullable PeerTls tls) {
    NettyPeerTransport client = TestPeers.open("c", tls);
    try {
      return TestPeers.isReachable(client, TestPeers.addressOf(server));
    } finally {
      client.close();
    }
  }

  private NettyPeerTransport startServer(String name, PeerTls tls) {
    NettyPeerTransport transport = TestPeers.open(name, tls);
    transport.listen(
        message -> {
          handled.incrementAndGet();
          return TestPeers.ack();
        });
    return transport;
  }

  private PeerTls writeFiles(
      String name, X509Bundle issuer, String trustedPem, long reloadIntervalMs) throws Exception {
    return TestIdentity.writeFiles(directory, name, issuer, trustedPem, reloadIntervalMs);
  }

  private static double tlsRejections() {
    return PeerMetrics.REJECTED.labelValues(FrameError.TLS_REFUSED.label()).get();
  }
}
