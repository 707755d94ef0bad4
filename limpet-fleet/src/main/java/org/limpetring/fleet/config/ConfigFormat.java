package org.limpetring.fleet.config;

import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.TableValidator.JoinedTables;
import org.limpetring.tables.Validation;

/** Parses the operators' tables; parses and serialises the accepted configuration. */
public interface ConfigFormat {

  /** Parses and validates both tables together; an empty text represents a missing table. */
  Validation<JoinedTables> join(String routes, String pools);

  /** Serialises the {@code accepted} object; equal configurations give equal text. */
  String write(AcceptedConfig config);

  /** Parses the text of the {@code accepted} object. */
  Validation<AcceptedConfig> read(String text);
}
