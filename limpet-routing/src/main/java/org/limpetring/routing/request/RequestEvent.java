package org.limpetring.routing.request;

import org.limpetring.base.Outcome;
import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;

/** Input of {@link RequestMachine}: an event in the course of one request. */
public sealed interface RequestEvent {

  /** The request was admitted to {@code group} and holds a permit of it. */
  record Admitted(ServingGroup group) implements RequestEvent {}

  /** Admission rejected the request; {@code code} must be one whose run state is not run. */
  record Refused(ResultCode code) implements RequestEvent {}

  /** The request's key is durably claimed for this request only. */
  record ClaimGranted() implements RequestEvent {}

  /** The claim was denied; another request with the same key may have run. */
  record ClaimDenied(ResultCode code) implements RequestEvent {}

  /** An earlier request with the key ran and its complete response is cached. */
  record ClaimReplayed() implements RequestEvent {}

  /** The selected group stopped serving after admission; nothing was sent to it. */
  record GroupUnavailable() implements RequestEvent {}

  /**
   * One try ended.
   *
   * @param eventsDelivered response events delivered to the caller so far, over all tries; chunks
   *     if the response is not a stream
   */
  record TryEnded(Outcome outcome, int eventsDelivered) implements RequestEvent {}

  /** The request's deadline passed. */
  record DeadlinePassed() implements RequestEvent {}

  /** The caller closed its connection. */
  record CallerDisconnected() implements RequestEvent {}

  /** The daemon is stopping and rejects requests that it has not dispatched yet. */
  record Stopping() implements RequestEvent {}
}
