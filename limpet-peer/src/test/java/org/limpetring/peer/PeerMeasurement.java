package org.limpetring.peer;

import com.google.protobuf.ByteString;
import com.sun.management.OperatingSystemMXBean;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.limpetring.base.DaemonId;
import org.limpetring.base.Metrics;
import org.limpetring.peer.proto.ClaimRequest;
import org.limpetring.peer.proto.ClaimResponse;
import org.limpetring.peer.proto.ColdPermitRequest;
import org.limpetring.peer.proto.ColdPermitResponse;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.peer.proto.Heartbeat;
import org.limpetring.peer.proto.PingRequest;
import org.limpetring.peer.proto.RosterAck;
import org.limpetring.peer.proto.StatePull;
import org.limpetring.peer.proto.StatePush;
import org.limpetring.peer.proto.TopicVersion;
import org.limpetring.peer.proto.VersionExchange;

/**
 * Measures frame sizes, CPU time and memory of the transport and writes the figures to {@code
 * target/peer-measurement.txt}. Its class name keeps it out of the default test run; select it
 * explicitly by name.
 */
class PeerMeasurement {

  private static final int WARM_UP_REQUESTS = 20_000;
  private static final int REQUESTS = 40_000;
  private static final int BATCH_SIZE = 32;
  private static final int TOPIC_COUNT = 12;
  private static final int IDLE_SECONDS = 10;
  private static final OperatingSystemMXBean SYSTEM =
      ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);

  private final StringBuilder report = new StringBuilder();

  @TempDir Path directory = Path.of("unused");

  @Test
  void measure() throws Exception {
    measureFrameSizes();
    X509Bundle authority = TestIdentity.newAuthority("peers");
    PeerTls tls =
        TestIdentity.writeFiles(
            directory, "m", authority, authority.getCertificatePEM(), 3_600_000);
    for (boolean encrypted : List.of(false, true)) {
      String kind = encrypted ? "TLS" : "plain";
      measureCpuTime(kind, encrypted ? tls : null);
      measureConnections(kind, encrypted ? tls : null);
    }
    Files.writeString(Path.of("target", "peer-measurement.txt"), report);
  }

  private void measureFrameSizes() {
    for (Envelope envelope : sampleMessages()) {
      Envelope sent =
          envelope.toBuilder().setSender("entry-17.3f9a2c").setCorrelation(100_000).build();
      addLine(
          "bytes %s %d", sent.getBodyCase(), sent.getSerializedSize() + PeerPipeline.PREFIX_BYTES);
    }
  }

  private static List<Envelope> sampleMessages() {
    VersionExchange.Builder exchange = VersionExchange.newBuilder().setConfirmedAgeMs(800);
    for (int topic = 0; topic < TOPIC_COUNT; topic++) {
      exchange.addTopics(
          TopicVersion.newBuilder().setTopic("plan/fabric-" + topic).setVersion(90_000 + topic));
    }
    ByteString kilobyte = ByteString.copyFrom(new byte[1_024]);
    return List.of(
        Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build(),
        TestPeers.ping(),
        TestPeers.ack(),
        Envelope.newBuilder()
            .setPingRequest(
                PingRequest.newBuilder()
                    .setTarget("entry-18.77aa01")
                    .setTargetIp("10.20.30.40")
                    .setTargetPort(7_400))
            .build(),
        Envelope.newBuilder().setVersionExchange(exchange).build(),
        Envelope.newBuilder()
            .setStatePush(
                StatePush.newBuilder().setTopic("roster").setVersion(90_000).setPayload(kilobyte))
            .build(),
        Envelope.newBuilder()
            .setStatePull(StatePull.newBuilder().setTopic("roster").setVersion(90_000))
            .build(),
        Envelope.newBuilder().setRosterAck(RosterAck.newBuilder().setEpoch(90_000)).build(),
        Envelope.newBuilder()
            .setClaimRequest(
                ClaimRequest.newBuilder()
                    .setKind(ClaimRequest.Kind.CLAIM)
                    .setClaim("uvVAd8Xg1cKqfVKVsmZc2Q")
                    .setRequestDigest("mZc2QuvVAd8")
                    .setAttempt("3f9a2c99812d4f7e9c1e2f7c")
                    .setKeyTimeMs(1_796_000_000_000L)
                    .setTimeoutMs(1_000))
            .build(),
        Envelope.newBuilder().setClaimResponse(ClaimResponse.newBuilder().setGranted(true)).build(),
        Envelope.newBuilder()
            .setColdPermitRequest(
                ColdPermitRequest.newBuilder()
                    .setGroup("fabric-3/group-9")
                    .setEpoch(4_000)
                    .setCount(2)
                    .setRosterEpoch(90_000))
            .build(),
        Envelope.newBuilder()
            .setColdPermitResponse(ColdPermitResponse.newBuilder().setGranted(2).setValidMs(2_000))
            .build());
  }

  private void measureCpuTime(String kind, @Nullable PeerTls tls) {
    NettyPeerTransport server = startResponder(tls);
    NettyPeerTransport client = newTransport(tls);
    PeerAddress to = TestPeers.addressOf(server);
    exchange(client, to, WARM_UP_REQUESTS, BATCH_SIZE);
    for (int batchSize : List.of(1, BATCH_SIZE)) {
      long startNs = SYSTEM.getProcessCpuTime();
      exchange(client, to, REQUESTS, batchSize);
      double usedUs = (SYSTEM.getProcessCpuTime() - startNs) / 1_000.0;
      addLine(
          "%s CPU us per frame sent and received, %d at once: %.1f",
          kind, batchSize, usedUs / (2.0 * REQUESTS));
    }
    client.close();
    server.close();
  }

  private void measureConnections(String kind, @Nullable PeerTls tls) throws IOException {
    NettyPeerTransport server = startResponder(tls);
    NettyPeerTransport client = newTransport(tls);
    int openedCount = 0;
    measureIdle(kind, openedCount);
    for (int peerCount : List.of(9, 27, 81, 243, 729)) {
      long startNs = SYSTEM.getProcessCpuTime();
      int openedBefore = openedCount;
      for (; openedCount < peerCount; openedCount++) {
        PeerAddress to = loopback(openedCount, server);
        exchange(client, to, 1, 1);
      }
      double usedUs = (SYSTEM.getProcessCpuTime() - startNs) / 1_000.0;
      for (int peer = 0; peer < peerCount; peer++) {
        exchange(client, loopback(peer, server), 8, 1);
      }
      addLine(
          "%s %d peers (both ends): heap %d KB, buffers %d KB, resident %d KB, "
              + "CPU us per connection opened %.0f",
          kind,
          peerCount,
          usedHeapKb(),
          directBufferKb(),
          residentSetKb(),
          usedUs / (peerCount - openedBefore));
    }
    measureIdle(kind, openedCount);
    client.close();
    server.close();
  }

  private void measureIdle(String kind, int openedCount) {
    double framesBefore = Metrics.PEER_FRAMES.labelValues("heartbeat", "out").get();
    long startNs = SYSTEM.getProcessCpuTime();
    LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(IDLE_SECONDS));
    addLine(
        "%s at rest with %d connections: %.2f heartbeats/s, CPU ms/s %.1f",
        kind,
        openedCount,
        (Metrics.PEER_FRAMES.labelValues("heartbeat", "out").get() - framesBefore) / IDLE_SECONDS,
        (SYSTEM.getProcessCpuTime() - startNs) / 1e6 / IDLE_SECONDS);
  }

  private static PeerAddress loopback(int index, NettyPeerTransport server) {
    String ip = "127.0." + (1 + index / 250) + "." + (1 + index % 250);
    return new PeerAddress(ip, server.port());
  }

  private static void exchange(
      NettyPeerTransport from, PeerAddress to, int requests, int batchSize) {
    List<CompletableFuture<Envelope>> pending = new ArrayList<>();
    for (int request = 0; request < requests; request += batchSize) {
      for (int count = 0; count < batchSize; count++) {
        pending.add(from.request(to, TestPeers.ping(), TestPeers.TIMEOUT_MS));
      }
      pending.forEach(CompletableFuture::join);
      pending.clear();
    }
  }

  private static NettyPeerTransport startResponder(@Nullable PeerTls tls) {
    NettyPeerTransport transport = newTransport(tls);
    transport.listen(message -> TestPeers.ack());
    return transport;
  }

  private static NettyPeerTransport newTransport(@Nullable PeerTls tls) {
    return new NettyPeerTransport(PeerSettings.withDefaults(new DaemonId("m"), "0.0.0.0", 0), tls);
  }

  private static long usedHeapKb() {
    for (int round = 0; round < 3; round++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1_024;
  }

  private static long directBufferKb() {
    return io.netty.util.internal.PlatformDependent.usedDirectMemory() / 1_024;
  }

  private static long residentSetKb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
      if (line.startsWith("VmRSS")) {
        return Long.parseLong(line.replaceAll("\\D", ""));
      }
    }
    throw new IOException("/proc/self/status has no VmRSS line");
  }

  private void addLine(String format, Object... arguments) {
    report.append(String.format(Locale.ROOT, format, arguments)).append('\n');
  }
}
