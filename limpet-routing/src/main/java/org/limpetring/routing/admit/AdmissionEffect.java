package org.limpetring.routing.admit;

import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;

/** Decision on one ticket. */
public sealed interface AdmissionEffect {

  /** Returns the ticket that was decided. */
  Ticket ticket();

  /** The request is sent to {@code group} and occupies one slot there until released. */
  record Admit(Ticket ticket, ServingGroup group) implements AdmissionEffect {}

  /** The request is rejected and must be reported as not run. */
  record Refuse(Ticket ticket, ResultCode code) implements AdmissionEffect {}
}
