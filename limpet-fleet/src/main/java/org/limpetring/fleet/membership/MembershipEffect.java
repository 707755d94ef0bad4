package org.limpetring.fleet.membership;

import java.util.List;
import org.limpetring.base.DaemonId;

/** Action that {@link MembershipMachine} requests from its runner. */
public sealed interface MembershipEffect {

  /** Send a probe to {@code peer}. */
  record SendProbe(DaemonId peer, long number, List<MemberUpdate> updates)
      implements MembershipEffect {
    /** Copies the list. */
    public SendProbe {
      updates = List.copyOf(updates);
    }
  }

  /** Ask {@code helper} to probe {@code target}. */
  record SendProbeRequest(DaemonId helper, DaemonId target, long number, List<MemberUpdate> updates)
      implements MembershipEffect {
    /** Copies the list. */
    public SendProbeRequest {
      updates = List.copyOf(updates);
    }
  }

  /** Report to {@code peer} that {@code target} responded to its probe {@code number}. */
  record SendAck(DaemonId peer, DaemonId target, long number, List<MemberUpdate> updates)
      implements MembershipEffect {
    /** Copies the list. */
    public SendAck {
      updates = List.copyOf(updates);
    }
  }

  /** A daemon did not respond to probes. */
  record Suspected(DaemonId daemon) implements MembershipEffect {}

  /** A suspected daemon has refuted the suspicion. */
  record Recovered(DaemonId daemon) implements MembershipEffect {}

  /** A daemon stayed suspected for the whole suspicion timeout. */
  record Lost(DaemonId daemon) implements MembershipEffect {}
}
