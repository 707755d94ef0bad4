package org.limpetring.fleet.spread;

import java.util.List;
import org.limpetring.base.DaemonId;

/** What the spread of topics asks its runner to do. */
public sealed interface SpreadEffect {

  /** Tell {@code peer} which versions this daemon holds. */
  record SendNotice(DaemonId peer, List<TopicVersion> versions) implements SpreadEffect {
    /** Copies the list. */
    public SendNotice {
      versions = List.copyOf(versions);
    }
  }

  /** Tell {@code peer} every version held, so that both sides learn what they miss. */
  record SendAllVersions(DaemonId peer, List<TopicVersion> versions) implements SpreadEffect {
    /** Copies the list. */
    public SendAllVersions {
      versions = List.copyOf(versions);
    }
  }

  /** Compare {@code digest} with that of {@code peer}. */
  record SendDigest(DaemonId peer, long digest) implements SpreadEffect {}

  /** Ask {@code peer} for the current values of {@code topics}. */
  record SendPull(DaemonId peer, List<String> topics) implements SpreadEffect {
    /** Copies the list. */
    public SendPull {
      topics = List.copyOf(topics);
    }
  }

  /** Send a value to {@code peer}. */
  record SendState(DaemonId peer, TopicState state) implements SpreadEffect {}

  /** Hand a newly learnt value to this daemon's own machines. */
  record Deliver(TopicState state) implements SpreadEffect {}
}
