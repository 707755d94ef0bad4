package org.limpetring.routing.request;

import java.util.Set;
import org.limpetring.base.GroupId;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.groups.ServingGroup;

/** Action that the daemon must carry out for one request, in the order given. */
public sealed interface RequestEffect {

  /** Request admission to a group not in {@code excluded}; results in Admitted or Refused. */
  record Admit(Set<GroupId> excluded) implements RequestEffect {}

  /** Claim the request's key; results in ClaimGranted, ClaimDenied or ClaimReplayed. */
  record Claim(String key) implements RequestEffect {}

  /**
   * Check that the group still serves, then send; results in GroupUnavailable or TryEnded.
   *
   * @param resumeOffset number of response events already delivered to the caller
   */
  record Dispatch(ServingGroup group, int resumeOffset) implements RequestEffect {}

  /** Release the permit of {@code group}. */
  record Release(ServingGroup group) implements RequestEffect {}

  /** Cancel the try in progress at {@code group}; its later TryEnded is ignored. */
  record CancelTry(ServingGroup group) implements RequestEffect {}

  /** Record the outcome of the claimed key; the key is freed if the request did not run. */
  record SettleClaim(String key, RunState runState) implements RequestEffect {}

  /** Send the stored response of the earlier request with the same key. */
  record Replay(String key) implements RequestEffect {}

  /** Send the result to the caller; the last effect of a request. */
  record Finish(ResultCode code, RunState runState) implements RequestEffect {}
}
