package org.limpetring.fleet.node;

import java.util.BitSet;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.freshness.FreshnessReport;
import org.limpetring.fleet.gossip.TopicState;
import org.limpetring.fleet.gossip.TopicVersion;
import org.limpetring.fleet.membership.MemberUpdate;

/** Message between the fleet machines of two daemons; delivery is not guaranteed. */
public sealed interface FleetMessage {

  /** Liveness probe of the receiver. */
  record Probe(DaemonId target, long number, List<MemberUpdate> updates) implements FleetMessage {}

  /** Asks the receiver to probe {@code target}. */
  record ProbeRequest(DaemonId target, long number, List<MemberUpdate> updates)
      implements FleetMessage {}

  /** Reports that {@code target} responded to probe {@code number}. */
  record ProbeAck(DaemonId target, long number, List<MemberUpdate> updates)
      implements FleetMessage {}

  /**
   * Requests an {@link ExchangeResponse}.
   *
   * @param digest hash of all topics held
   * @param epoch newest roster epoch that the sender has learnt
   * @param withMemberAges whether the response should include the ages of all daemons
   * @param unlistedSender entry of the sender if it is not in the roster, otherwise null
   */
  record ExchangeRequest(
      long number,
      long digest,
      long epoch,
      boolean withMemberAges,
      @Nullable DaemonEntry unlistedSender)
      implements FleetMessage {}

  /**
   * Response to an {@link ExchangeRequest}.
   *
   * @param acknowledgements indexes of the roster's daemons known to have learnt the epoch of the
   *     report
   */
  record ExchangeResponse(long number, FreshnessReport report, BitSet acknowledgements)
      implements FleetMessage {}

  /** Announces newer versions that the sender holds. */
  record Notice(List<TopicVersion> versions) implements FleetMessage {}

  /** Lists all versions that the sender holds. */
  record AllVersions(List<TopicVersion> versions) implements FleetMessage {}

  /** Requests the values of topics. */
  record Pull(List<String> topics) implements FleetMessage {}

  /** Carries the value of a topic. */
  record State(TopicState state) implements FleetMessage {}

  /** Asks a writer of the roster to add or remove daemons. */
  record RosterRequest(List<DaemonEntry> joins, List<DaemonId> leaves) implements FleetMessage {}
}
