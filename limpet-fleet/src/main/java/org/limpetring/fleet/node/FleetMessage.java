package org.limpetring.fleet.node;

import java.util.BitSet;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.freshness.FreshnessReport;
import org.limpetring.fleet.membership.MemberUpdate;
import org.limpetring.fleet.spread.TopicState;
import org.limpetring.fleet.spread.TopicVersion;

/** Message between the fleet machines of two daemons; any may be lost. */
public sealed interface FleetMessage {

  /** Asks whether the receiver is alive. */
  record Probe(DaemonId target, long number, List<MemberUpdate> news) implements FleetMessage {}

  /** Asks the receiver to probe {@code target}. */
  record ProbeRequest(DaemonId target, long number, List<MemberUpdate> news)
      implements FleetMessage {}

  /** Says that {@code target} answered probe {@code number}. */
  record ProbeAck(DaemonId target, long number, List<MemberUpdate> news) implements FleetMessage {}

  /**
   * Asks for an {@link Answer}.
   *
   * @param digest hash of all topics held
   * @param epoch newest roster epoch that the sender has learnt
   * @param withMembers whether the answer should tell of all daemons
   * @param stranger the sender, where it is not in the roster
   */
  record Question(
      long number, long digest, long epoch, boolean withMembers, @Nullable DaemonEntry stranger)
      implements FleetMessage {}

  /**
   * Answers a {@link Question}.
   *
   * @param seen daemons of the roster, by place, known to have learnt the epoch of the report
   */
  record Answer(long number, FreshnessReport report, BitSet seen) implements FleetMessage {}

  /** Names newer versions that the sender holds. */
  record Notice(List<TopicVersion> versions) implements FleetMessage {}

  /** Names all versions that the sender holds. */
  record AllVersions(List<TopicVersion> versions) implements FleetMessage {}

  /** Asks for the values of topics. */
  record Pull(List<String> topics) implements FleetMessage {}

  /** Carries the value of a topic. */
  record State(TopicState state) implements FleetMessage {}

  /** Asks a writer of the roster to add or remove daemons. */
  record Wish(List<DaemonEntry> joins, List<DaemonId> leaves) implements FleetMessage {}
}
