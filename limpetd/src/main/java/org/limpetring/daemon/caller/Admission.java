package org.limpetring.daemon.caller;

import java.util.Set;
import org.limpetring.base.CallerId;
import org.limpetring.base.GroupId;
import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;
import org.limpetring.tables.Pool;

/** Lets requests through to groups; blocks the calling thread while a request waits its turn. */
public interface Admission {

  /** Seeks a permit for one try. */
  Result admit(Ask ask);

  /** Gives the permit of a try back. */
  void release(ServingGroup group, long tookMs, boolean completed);

  /**
   * What a request needs.
   *
   * @param excluded groups that it has tried
   * @param prefixHash hash of the start of the prompt, or 0
   * @param deadlineAtMs reading of the monotonic clock after which the answer is of no use
   */
  record Ask(
      Pool pool, CallerId caller, Set<GroupId> excluded, long prefixHash, long deadlineAtMs) {}

  /** Result of seeking a permit. */
  sealed interface Result {

    /** The request may go to the group. */
    record Admitted(ServingGroup group) implements Result {}

    /** The request may not go anywhere now; it has not run in this try. */
    record Refused(ResultCode code) implements Result {}
  }
}
