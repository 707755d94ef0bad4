package org.limpetring.fleet.config;

import org.limpetring.tables.PoolTable;
import org.limpetring.tables.RouteTable;

/** Both tables after their common checks. */
public record JoinedTables(RouteTable routes, PoolTable pools) {

  /** Neither table has a row. */
  public static final JoinedTables EMPTY = new JoinedTables(RouteTable.EMPTY, PoolTable.EMPTY);
}
