package org.limpetring.routing.request;

import org.limpetring.base.Outcome;
import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;

/** What happened to one request. */
public sealed interface RequestEvent {

  /** Admission let the request through to {@code group}, whose permit it holds. */
  record Admitted(ServingGroup group) implements RequestEvent {}

  /** Admission refused the request; {@code code} must be one of those that mean not run. */
  record Refused(ResultCode code) implements RequestEvent {}

  /** The request's key is claimed durably for this request alone. */
  record ClaimGranted() implements RequestEvent {}

  /** The key was not claimed for this request; another request may have run with it. */
  record ClaimDenied(ResultCode code) implements RequestEvent {}

  /** An earlier request with the key ran and its whole answer is at hand. */
  record ClaimReplayed() implements RequestEvent {}

  /** The chosen group stopped serving after admission; nothing was sent to it. */
  record GroupUnavailable() implements RequestEvent {}

  /**
   * One try ended.
   *
   * @param eventsDelivered events of the answer that the caller has by now, over all tries; chunks
   *     where the answer is not a stream
   */
  record TryEnded(Outcome outcome, int eventsDelivered) implements RequestEvent {}

  /** The request's deadline passed. */
  record DeadlinePassed() implements RequestEvent {}

  /** The caller closed its connection. */
  record CallerDisconnected() implements RequestEvent {}

  /** The daemon refuses what it has not dispatched yet. */
  record Stopping() implements RequestEvent {}
}
