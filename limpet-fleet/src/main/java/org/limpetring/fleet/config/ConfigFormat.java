package org.limpetring.fleet.config;

import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.TableValidator.JoinedTables;
import org.limpetring.tables.Validation;

/** Reads the operators' tables and reads and writes the accepted configuration. */
public interface ConfigFormat {

  /** Reads and checks both tables together; an empty text stands for a missing table. */
  Validation<JoinedTables> join(String routes, String pools);

  /** Text of the {@code accepted} object; the same configuration always gives the same text. */
  String write(AcceptedConfig config);

  /** Reads the text of the {@code accepted} object. */
  Validation<AcceptedConfig> read(String text);
}
