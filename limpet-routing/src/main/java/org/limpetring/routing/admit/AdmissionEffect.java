package org.limpetring.routing.admit;

import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;

/** Decision on one ticket. */
public sealed interface AdmissionEffect {

  /** The ticket decided on. */
  Ticket ticket();

  /** The request goes to {@code group} and occupies one place there until released. */
  record Admit(Ticket ticket, ServingGroup group) implements AdmissionEffect {}

  /** The request must be answered as not run. */
  record Refuse(Ticket ticket, ResultCode code) implements AdmissionEffect {}
}
