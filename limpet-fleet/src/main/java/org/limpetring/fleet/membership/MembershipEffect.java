package org.limpetring.fleet.membership;

import java.util.List;
import org.limpetring.base.DaemonId;

/** What failure detection asks its runner to do. */
public sealed interface MembershipEffect {

  /** Probe {@code peer}. */
  record SendProbe(DaemonId peer, long number, List<MemberUpdate> news)
      implements MembershipEffect {
    /** Copies the list. */
    public SendProbe {
      news = List.copyOf(news);
    }
  }

  /** Ask {@code helper} to probe {@code target}. */
  record SendProbeRequest(DaemonId helper, DaemonId target, long number, List<MemberUpdate> news)
      implements MembershipEffect {
    /** Copies the list. */
    public SendProbeRequest {
      news = List.copyOf(news);
    }
  }

  /** Tell {@code peer} that {@code target} answered its probe {@code number}. */
  record SendAck(DaemonId peer, DaemonId target, long number, List<MemberUpdate> news)
      implements MembershipEffect {
    /** Copies the list. */
    public SendAck {
      news = List.copyOf(news);
    }
  }

  /** A daemon could not be reached. */
  record Suspected(DaemonId daemon) implements MembershipEffect {}

  /** A suspected daemon was heard of again. */
  record Recovered(DaemonId daemon) implements MembershipEffect {}

  /** A daemon stayed suspected for the whole suspicion time. */
  record Lost(DaemonId daemon) implements MembershipEffect {}
}
