package org.limpetring.fleet.gossip;

import java.util.List;
import org.limpetring.base.DaemonId;

/** Action that {@link GossipMachine} requests from its runner. */
public sealed interface GossipEffect {

  /** Announce versions that this daemon holds to {@code peer}. */
  record SendNotice(DaemonId peer, List<TopicVersion> versions) implements GossipEffect {
    /** Copies the list. */
    public SendNotice {
      versions = List.copyOf(versions);
    }
  }

  /** Send {@code peer} all versions held, so that both sides find out which ones they lack. */
  record SendAllVersions(DaemonId peer, List<TopicVersion> versions) implements GossipEffect {
    /** Copies the list. */
    public SendAllVersions {
      versions = List.copyOf(versions);
    }
  }

  /** Send {@code digest} to {@code peer} for comparison. */
  record SendDigest(DaemonId peer, long digest) implements GossipEffect {}

  /** Request the current values of {@code topics} from {@code peer}. */
  record SendPull(DaemonId peer, List<String> topics) implements GossipEffect {
    /** Copies the list. */
    public SendPull {
      topics = List.copyOf(topics);
    }
  }

  /** Send a value to {@code peer}. */
  record SendState(DaemonId peer, TopicState state) implements GossipEffect {}

  /** Pass a new value to this daemon's own machines. */
  record Deliver(TopicState state) implements GossipEffect {}
}
