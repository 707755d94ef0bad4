package org.limpetring.fleet.config;

import java.util.List;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.ValidationError;

/** Action that {@link ConfigMachine} requests from its runner. */
public sealed interface ConfigEffect {

  /** Read {@code accepted}, then the tables, then the service marks, in this order. */
  record ReadForJoin() implements ConfigEffect {}

  /** Write {@code accepted} if its version is still {@code expectedVersion}. */
  record WriteAccepted(AcceptedConfig config, String text, long expectedVersion)
      implements ConfigEffect {}

  /** Switch to {@code config} and gossip {@code text}. */
  record PutInForce(AcceptedConfig config, String text) implements ConfigEffect {}

  /** The tables are invalid; the last accepted tables stay in force. */
  record ReportInvalid(List<ValidationError> errors) implements ConfigEffect {
    /** Copies the list. */
    public ReportInvalid {
      errors = List.copyOf(errors);
    }
  }
}
