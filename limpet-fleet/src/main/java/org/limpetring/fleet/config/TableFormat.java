package org.limpetring.fleet.config;

import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.Checked;
import org.limpetring.tables.ConfigCodec;
import org.limpetring.tables.TableChecks;
import org.limpetring.tables.TableChecks.JoinedTables;

/** JSON format of the operators' tables and the accepted configuration. */
public final class TableFormat implements ConfigFormat {

  @Override
  public Checked<JoinedTables> join(String routes, String pools) {
    return TableChecks.join(routes, pools);
  }

  @Override
  public String write(AcceptedConfig config) {
    return ConfigCodec.write(config);
  }

  @Override
  public Checked<AcceptedConfig> read(String text) {
    return ConfigCodec.read(text);
  }
}
