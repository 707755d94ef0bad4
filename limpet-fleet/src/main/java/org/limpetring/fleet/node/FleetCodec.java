package org.limpetring.fleet.node;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.freshness.FreshnessReport;
import org.limpetring.fleet.gossip.TopicState;
import org.limpetring.fleet.gossip.TopicVersion;
import org.limpetring.fleet.membership.MemberUpdate;
import org.limpetring.peer.proto.Ack;
import org.limpetring.peer.proto.DaemonRecord;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.peer.proto.MemberNews;
import org.limpetring.peer.proto.Ping;
import org.limpetring.peer.proto.PingRequest;
import org.limpetring.peer.proto.RosterWish;
import org.limpetring.peer.proto.StatePull;
import org.limpetring.peer.proto.StatePush;
import org.limpetring.peer.proto.VersionExchange;

/** Converts fleet messages to and from protobuf. */
public final class FleetCodec {

  private static final long AGE_UNIT_MS = 50;
  private static final int UNKNOWN_AGE_UNITS = 255;

  private FleetCodec() {}

  /** Encodes {@code message}; the transport sets the sender. */
  public static Envelope write(FleetMessage message) {
    Envelope.Builder envelope = Envelope.newBuilder();
    if (message instanceof FleetMessage.Probe probe) {
      envelope.setPing(
          Ping.newBuilder()
              .setTarget(probe.target().value())
              .setNumber(probe.number())
              .addAllNews(writeUpdates(probe.updates())));
    } else if (message instanceof FleetMessage.ProbeRequest request) {
      envelope.setPingRequest(
          PingRequest.newBuilder()
              .setTarget(request.target().value())
              .setNumber(request.number())
              .addAllNews(writeUpdates(request.updates())));
    } else if (message instanceof FleetMessage.ProbeAck ack) {
      envelope.setAck(
          Ack.newBuilder()
              .setReached(true)
              .setTarget(ack.target().value())
              .setNumber(ack.number())
              .addAllNews(writeUpdates(ack.updates())));
    } else if (message instanceof FleetMessage.ExchangeRequest exchangeRequest) {
      envelope.setVersionExchange(writeExchangeRequest(exchangeRequest));
    } else if (message instanceof FleetMessage.ExchangeResponse exchangeResponse) {
      envelope.setVersionExchange(writeExchangeResponse(exchangeResponse));
    } else if (message instanceof FleetMessage.Notice notice) {
      envelope.setVersionExchange(writeVersions(VersionExchange.Kind.NOTICE, notice.versions()));
    } else if (message instanceof FleetMessage.AllVersions all) {
      envelope.setVersionExchange(writeVersions(VersionExchange.Kind.ALL_VERSIONS, all.versions()));
    } else if (message instanceof FleetMessage.Pull pull) {
      envelope.setStatePull(StatePull.newBuilder().addAllTopics(pull.topics()));
    } else if (message instanceof FleetMessage.State state) {
      envelope.setStatePush(
          StatePush.newBuilder()
              .setTopic(state.state().topic())
              .setVersion(state.state().version())
              .setPayload(ByteString.copyFrom(Gzip.compress(state.state().value()))));
    } else if (message instanceof FleetMessage.RosterRequest rosterRequest) {
      envelope.setRosterWish(
          RosterWish.newBuilder()
              .addAllJoins(rosterRequest.joins().stream().map(FleetCodec::writeEntry).toList())
              .addAllLeaves(rosterRequest.leaves().stream().map(DaemonId::value).toList()));
    }
    return envelope.build();
  }

  /**
   * Decodes a message from another daemon; empty if the envelope contains no fleet message.
   *
   * @throws IllegalArgumentException if a field is malformed
   */
  public static Optional<FleetMessage> read(Envelope envelope) {
    return switch (envelope.getBodyCase()) {
      case PING ->
          Optional.of(
              new FleetMessage.Probe(
                  new DaemonId(envelope.getPing().getTarget()),
                  envelope.getPing().getNumber(),
                  readUpdates(envelope.getPing().getNewsList())));
      case PING_REQUEST ->
          Optional.of(
              new FleetMessage.ProbeRequest(
                  new DaemonId(envelope.getPingRequest().getTarget()),
                  envelope.getPingRequest().getNumber(),
                  readUpdates(envelope.getPingRequest().getNewsList())));
      case ACK ->
          Optional.of(
              new FleetMessage.ProbeAck(
                  new DaemonId(envelope.getAck().getTarget()),
                  envelope.getAck().getNumber(),
                  readUpdates(envelope.getAck().getNewsList())));
      case VERSION_EXCHANGE -> readExchange(envelope.getVersionExchange());
      case STATE_PULL ->
          Optional.of(new FleetMessage.Pull(List.copyOf(envelope.getStatePull().getTopicsList())));
      case STATE_PUSH -> {
        StatePush push = envelope.getStatePush();
        byte[] value = Gzip.decompress(push.getPayload().toByteArray());
        yield Optional.of(
            new FleetMessage.State(new TopicState(push.getTopic(), push.getVersion(), value)));
      }
      case ROSTER_WISH ->
          Optional.of(
              new FleetMessage.RosterRequest(
                  envelope.getRosterWish().getJoinsList().stream()
                      .map(FleetCodec::readEntry)
                      .toList(),
                  envelope.getRosterWish().getLeavesList().stream().map(DaemonId::new).toList()));
      default -> Optional.empty();
    };
  }

  private static VersionExchange writeExchangeRequest(
      FleetMessage.ExchangeRequest exchangeRequest) {
    VersionExchange.Builder builder =
        VersionExchange.newBuilder()
            .setKind(VersionExchange.Kind.QUESTION)
            .setNumber(exchangeRequest.number())
            .setDigest(exchangeRequest.digest())
            .setRosterEpoch(exchangeRequest.epoch())
            .setWithMembers(exchangeRequest.withMemberAges());
    if (exchangeRequest.unlistedSender() != null) {
      builder.setStranger(writeEntry(exchangeRequest.unlistedSender()));
    }
    return builder.build();
  }

  private static VersionExchange writeExchangeResponse(
      FleetMessage.ExchangeResponse exchangeResponse) {
    FreshnessReport report = exchangeResponse.report();
    byte[] ages = new byte[report.memberAgesMs().size()];
    for (int index = 0; index < ages.length; index++) {
      ages[index] = (byte) writeAge(report.memberAgesMs().get(index));
    }
    boolean isConfirmed = report.platformAgeMs() != FreshnessReport.UNKNOWN_AGE_MS;
    return VersionExchange.newBuilder()
        .setKind(VersionExchange.Kind.ANSWER)
        .setNumber(exchangeResponse.number())
        .setRosterEpoch(report.epoch())
        .setGeneration(report.generation())
        .setConfirmed(isConfirmed)
        .setConfirmedAgeMs(isConfirmed ? report.platformAgeMs() : 0)
        .setMemberAges(ByteString.copyFrom(ages))
        .setMembersSeen(ByteString.copyFrom(exchangeResponse.acknowledgements().toByteArray()))
        .build();
  }

  /** Rounds up, so that knowledge never appears more recent than it is. */
  private static int writeAge(long ageMs) {
    long units = (ageMs + AGE_UNIT_MS - 1) / AGE_UNIT_MS;
    return ageMs == FreshnessReport.UNKNOWN_AGE_MS || units >= UNKNOWN_AGE_UNITS
        ? UNKNOWN_AGE_UNITS
        : (int) units;
  }

  private static VersionExchange writeVersions(
      VersionExchange.Kind kind, List<TopicVersion> versions) {
    VersionExchange.Builder builder = VersionExchange.newBuilder().setKind(kind);
    for (TopicVersion version : versions) {
      builder.addTopics(
          org.limpetring.peer.proto.TopicVersion.newBuilder()
              .setTopic(version.topic())
              .setVersion(version.version()));
    }
    return builder.build();
  }

  private static Optional<FleetMessage> readExchange(VersionExchange exchange) {
    List<TopicVersion> versions =
        exchange.getTopicsList().stream()
            .map(topic -> new TopicVersion(topic.getTopic(), topic.getVersion()))
            .toList();
    return switch (exchange.getKind()) {
      case QUESTION ->
          Optional.of(
              new FleetMessage.ExchangeRequest(
                  exchange.getNumber(),
                  exchange.getDigest(),
                  exchange.getRosterEpoch(),
                  exchange.getWithMembers(),
                  exchange.hasStranger() ? readEntry(exchange.getStranger()) : null));
      case ANSWER -> Optional.of(readExchangeResponse(exchange));
      case NOTICE -> Optional.of(new FleetMessage.Notice(versions));
      case ALL_VERSIONS -> Optional.of(new FleetMessage.AllVersions(versions));
      default -> Optional.empty();
    };
  }

  private static FleetMessage readExchangeResponse(VersionExchange exchange) {
    List<Long> ages = new ArrayList<>();
    for (byte units : exchange.getMemberAges().toByteArray()) {
      int age = Byte.toUnsignedInt(units);
      ages.add(age == UNKNOWN_AGE_UNITS ? FreshnessReport.UNKNOWN_AGE_MS : age * AGE_UNIT_MS);
    }
    long platformAgeMs =
        exchange.getConfirmed() ? exchange.getConfirmedAgeMs() : FreshnessReport.UNKNOWN_AGE_MS;
    return new FleetMessage.ExchangeResponse(
        exchange.getNumber(),
        new FreshnessReport(
            exchange.getRosterEpoch(), exchange.getGeneration(), platformAgeMs, ages),
        BitSet.valueOf(exchange.getMembersSeen().toByteArray()));
  }

  private static List<MemberNews> writeUpdates(List<MemberUpdate> updates) {
    return updates.stream()
        .map(
            update ->
                MemberNews.newBuilder()
                    .setDaemon(update.daemon().value())
                    .setIncarnation(update.incarnation())
                    .setSuspected(update.suspected())
                    .build())
        .toList();
  }

  private static List<MemberUpdate> readUpdates(List<MemberNews> updates) {
    return updates.stream()
        .map(
            item ->
                new MemberUpdate(
                    new DaemonId(item.getDaemon()), item.getIncarnation(), item.getSuspected()))
        .toList();
  }

  private static DaemonRecord writeEntry(DaemonEntry entry) {
    return DaemonRecord.newBuilder()
        .setDaemon(entry.id().value())
        .setIp(entry.address())
        .setPort(entry.peerPort())
        .setFailureDomain(entry.failureDomain().value())
        .build();
  }

  private static DaemonEntry readEntry(DaemonRecord wireEntry) {
    return new DaemonEntry(
        new DaemonId(wireEntry.getDaemon()),
        wireEntry.getIp(),
        wireEntry.getPort(),
        new FailureDomain(wireEntry.getFailureDomain()));
  }
}
