package org.limpetring.fleet.config;

import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.ConfigCodec;
import org.limpetring.tables.TableValidator;
import org.limpetring.tables.TableValidator.JoinedTables;
import org.limpetring.tables.Validation;

/** JSON format of the operators' tables and the accepted configuration. */
public final class TableFormat implements ConfigFormat {

  @Override
  public Validation<JoinedTables> join(String routes, String pools) {
    return TableValidator.join(routes, pools);
  }

  @Override
  public String write(AcceptedConfig config) {
    return ConfigCodec.write(config);
  }

  @Override
  public Validation<AcceptedConfig> read(String text) {
    return ConfigCodec.read(text);
  }
}
