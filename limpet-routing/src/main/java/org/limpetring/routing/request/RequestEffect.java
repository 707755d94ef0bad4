package org.limpetring.routing.request;

import java.util.Set;
import org.limpetring.base.GroupId;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.groups.ServingGroup;

/** What the daemon must do for one request, in the order given. */
public sealed interface RequestEffect {

  /** Seek admission to a group not in {@code excluded}; answered by Admitted or Refused. */
  record Admit(Set<GroupId> excluded) implements RequestEffect {}

  /** Claim the request's key; answered by ClaimGranted, ClaimDenied or ClaimReplayed. */
  record Claim(String key) implements RequestEffect {}

  /**
   * Check that the group still serves, then send; answered by GroupUnavailable or TryEnded.
   *
   * @param resumeOffset events of the answer that the caller already has
   */
  record Dispatch(ServingGroup group, int resumeOffset) implements RequestEffect {}

  /** Give the permit of {@code group} back. */
  record Release(ServingGroup group) implements RequestEffect {}

  /** Cancel the try in progress at {@code group}; its end will be ignored. */
  record CancelTry(ServingGroup group) implements RequestEffect {}

  /** Record what became of the claimed key; a claim that did not run is freed. */
  record SettleClaim(String key, RunState runState) implements RequestEffect {}

  /** Send the stored answer of the earlier request with the same key. */
  record Replay(String key) implements RequestEffect {}

  /** Tell the caller the result; the last effect of a request. */
  record Finish(ResultCode code, RunState runState) implements RequestEffect {}
}
