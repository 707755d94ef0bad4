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
 * Measures the transport; run by name, as its name keeps it out of the usual tests. Figures go to
 * {@code target/peer-measurement.txt}.
 */
class PeerMeasurement {

  private static final int WARM_UP = 20_000;
  private static final int ROUNDS = 40_000;
  private static final int BATCH = 32;
  private static final int TOPICS = 12;
  private static final int REST_SECONDS = 10;
  private static final OperatingSystemMXBean SYSTEM =
      ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);

  private final StringBuilder report = new StringBuilder();

  @TempDir Path directory = Path.of("unused");

  @Test
  void measure() throws Exception {
    sizes();
    X509Bundle authority = TestIdentity.authority("peers");
    PeerTls tls =
        TestIdentity.files(directory, "m", authority, authority.getCertificatePEM(), 3_600_000);
    for (boolean encrypted : List.of(false, true)) {
      String kind = encrypted ? "TLS" : "plain";
      processorTime(kind, encrypted ? tls : null);
      connections(kind, encrypted ? tls : null);
    }
    Files.writeString(Path.of("target", "peer-measurement.txt"), report);
  }

  private void sizes() {
    for (Envelope envelope : samples()) {
      Envelope sent =
          envelope.toBuilder().setSender("entry-17.3f9a2c").setCorrelation(100_000).build();
      line("bytes %s %d", sent.getBodyCase(), sent.getSerializedSize() + PeerPipeline.PREFIX_BYTES);
    }
  }

  private static List<Envelope> samples() {
    VersionExchange.Builder exchange = VersionExchange.newBuilder().setConfirmedAgeMs(800);
    for (int topic = 0; topic < TOPICS; topic++) {
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

  private void processorTime(String kind, @Nullable PeerTls tls) {
    NettyPeerTransport server = answering(tls);
    NettyPeerTransport client = open(tls);
    PeerAddress to = TestPeers.addressOf(server);
    exchange(client, to, WARM_UP, BATCH);
    for (int batch : List.of(1, BATCH)) {
      long startNs = SYSTEM.getProcessCpuTime();
      exchange(client, to, ROUNDS, batch);
      double usedUs = (SYSTEM.getProcessCpuTime() - startNs) / 1_000.0;
      line(
          "%s CPU us per frame sent and received, %d at once: %.1f",
          kind, batch, usedUs / (2.0 * ROUNDS));
    }
    client.close();
    server.close();
  }

  private void connections(String kind, @Nullable PeerTls tls) throws IOException {
    NettyPeerTransport server = answering(tls);
    NettyPeerTransport client = open(tls);
    int opened = 0;
    rest(kind, opened);
    for (int peers : List.of(9, 27, 81, 243, 729)) {
      long startNs = SYSTEM.getProcessCpuTime();
      int before = opened;
      for (; opened < peers; opened++) {
        PeerAddress to = loopback(opened, server);
        exchange(client, to, 1, 1);
      }
      double usedUs = (SYSTEM.getProcessCpuTime() - startNs) / 1_000.0;
      for (int peer = 0; peer < peers; peer++) {
        exchange(client, loopback(peer, server), 8, 1);
      }
      line(
          "%s %d peers (both ends): heap %d KB, buffers %d KB, resident %d KB, "
              + "CPU us per connection opened %.0f",
          kind, peers, heapKb(), buffersKb(), residentKb(), usedUs / (peers - before));
    }
    rest(kind, opened);
    client.close();
    server.close();
  }

  private void rest(String kind, int opened) {
    double framesBefore = Metrics.PEER_FRAMES.labelValues("heartbeat", "out").get();
    long startNs = SYSTEM.getProcessCpuTime();
    LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(REST_SECONDS));
    line(
        "%s at rest with %d connections: %.2f heartbeats/s, CPU ms/s %.1f",
        kind,
        opened,
        (Metrics.PEER_FRAMES.labelValues("heartbeat", "out").get() - framesBefore) / REST_SECONDS,
        (SYSTEM.getProcessCpuTime() - startNs) / 1e6 / REST_SECONDS);
  }

  private static PeerAddress loopback(int index, NettyPeerTransport server) {
    String ip = "127.0." + (1 + index / 250) + "." + (1 + index % 250);
    return new PeerAddress(ip, server.port());
  }

  private static void exchange(NettyPeerTransport from, PeerAddress to, int rounds, int batch) {
    List<CompletableFuture<Envelope>> open = new ArrayList<>();
    for (int round = 0; round < rounds; round += batch) {
      for (int count = 0; count < batch; count++) {
        open.add(from.request(to, TestPeers.ping(), TestPeers.TIMEOUT_MS));
      }
      open.forEach(CompletableFuture::join);
      open.clear();
    }
  }

  private static NettyPeerTransport answering(@Nullable PeerTls tls) {
    NettyPeerTransport transport = open(tls);
    transport.listen(message -> TestPeers.ack());
    return transport;
  }

  private static NettyPeerTransport open(@Nullable PeerTls tls) {
    return new NettyPeerTransport(PeerSettings.withDefaults(new DaemonId("m"), "0.0.0.0", 0), tls);
  }

  private static long heapKb() {
    for (int round = 0; round < 3; round++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1_024;
  }

  private static long buffersKb() {
    return io.netty.util.internal.PlatformDependent.usedDirectMemory() / 1_024;
  }

  private static long residentKb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
      if (line.startsWith("VmRSS")) {
        return Long.parseLong(line.replaceAll("\\D", ""));
      }
    }
    throw new IOException("no VmRSS");
  }

  private void line(String format, Object... arguments) {
    report.append(String.format(Locale.ROOT, format, arguments)).append('\n');
  }
}
