package org.limpetring.fleet.config;

import java.util.List;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.ValidationError;

/** What the configuration machine asks its runner to do. */
public sealed interface ConfigEffect {

  /** Read {@code accepted}, then the tables, then the marks, in this order. */
  record ReadForJoin() implements ConfigEffect {}

  /** Write {@code accepted} if its version still is {@code expectedVersion}. */
  record WriteAccepted(AcceptedConfig config, String text, long expectedVersion)
      implements ConfigEffect {}

  /** Use {@code config} from now on and spread {@code text}. */
  record PutInForce(AcceptedConfig config, String text) implements ConfigEffect {}

  /** The tables have mistakes; the last accepted tables stay. */
  record ReportInvalid(List<ValidationError> mistakes) implements ConfigEffect {
    /** Copies the list. */
    public ReportInvalid {
      mistakes = List.copyOf(mistakes);
    }
  }
}
