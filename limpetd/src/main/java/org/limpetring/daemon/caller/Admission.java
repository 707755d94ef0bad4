package org.limpetring.daemon.caller;

import java.util.Set;
import org.limpetring.base.CallerId;
import org.limpetring.base.GroupId;
import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;
import org.limpetring.tables.Pool;

/**
 * Admission control for requests to groups; blocks the calling thread while a request is queued.
 */
public interface Admission {

  /** Requests a permit for one try. */
  Result admit(AdmissionRequest request);

  /**
   * Requirements of the request to admit.
   *
   * @param weight share of the request's caller under contention
   * @param idempotent whether a try may be aborted and retried
   * @param excluded groups that the request has tried
   * @param affinity hash of the start of the prompt, or 0
   * @param deadlineAtMs reading of the monotonic clock after which the response is of no use to the
   *     caller
   */
  record AdmissionRequest(
      Pool pool,
      CallerId caller,
      int weight,
      boolean idempotent,
      Set<GroupId> excluded,
      long affinity,
      long deadlineAtMs) {

    /** Takes a defensive copy of the excluded groups. */
    public AdmissionRequest {
      excluded = Set.copyOf(excluded);
    }
  }

  /** Outcome of an admission request. */
  sealed interface Result {

    /** The request may be sent to the permit's group. */
    record Admitted(Permit permit) implements Result {}

    /** No group may get the request now; it has not run in this try. */
    record Refused(ResultCode code) implements Result {}
  }

  /** Permission to send one request to one group; must be released. */
  interface Permit {

    /** Group that the request may be sent to. */
    ServingGroup group();

    /** Whether the request counts against the group's cold budget. */
    boolean isCold();

    /** Reading of the monotonic clock by which the request must have ended in the group. */
    long expiresAtMs();

    /** Returns the permit and reports how the try ended. */
    void release(TryReport report);
  }

  /**
   * Outcome and timing of one try.
   *
   * @param sent whether the request was sent to the group
   * @param code result of the try
   * @param firstEventMs time from dispatch to the first part of the response, or -1 if there was
   *     none
   * @param durationMs time from dispatch to the end of the try
   */
  record TryReport(boolean sent, ResultCode code, long firstEventMs, long durationMs) {

    /** Report of a try whose request was not sent. */
    public static final TryReport NOT_SENT =
        new TryReport(false, ResultCode.UPSTREAM_REFUSED, -1, 0);
  }
}
