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

  /**
   * What a request needs.
   *
   * @param weight share of the caller under contention
   * @param idempotent whether a try may be cut and made again
   * @param excluded groups that it has tried
   * @param affinity hash of the start of the prompt, or 0
   * @param deadlineAtMs reading of the monotonic clock after which the answer is of no use
   */
  record Ask(
      Pool pool,
      CallerId caller,
      int weight,
      boolean idempotent,
      Set<GroupId> excluded,
      long affinity,
      long deadlineAtMs) {

    /** Copies the set. */
    public Ask {
      excluded = Set.copyOf(excluded);
    }
  }

  /** Result of seeking a permit. */
  sealed interface Result {

    /** The request may go to the permit's group. */
    record Admitted(Permit permit) implements Result {}

    /** The request may not go anywhere now; it has not run in this try. */
    record Refused(ResultCode code) implements Result {}
  }

  /** Permission to send one request to one group; must be released. */
  interface Permit {

    /** Group that the request may go to. */
    ServingGroup group();

    /** Whether the request counts against the group's cold budget. */
    boolean isCold();

    /** Reading of the monotonic clock at which the request must have left the group. */
    long endsAtMs();

    /** Gives the permission back and tells how the try went. */
    void release(TryReport report);
  }

  /**
   * How one try went.
   *
   * @param sent whether the request was sent at all
   * @param code how the try ended
   * @param firstEventMs time from dispatch to the first part of the answer, or -1 without one
   * @param takenMs time from dispatch to the end
   */
  record TryReport(boolean sent, ResultCode code, long firstEventMs, long takenMs) {

    /** Report of a request that was not sent. */
    public static final TryReport NOT_SENT =
        new TryReport(false, ResultCode.UPSTREAM_REFUSED, -1, 0);
  }
}
