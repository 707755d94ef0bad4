package org.limpetring.tables;

import java.util.List;

/** The table of pools. */
public record PoolTable(List<Pool> pools) {

  /** Table without rows. */
  public static final PoolTable EMPTY = new PoolTable(List.of());

  /** Copies the list. */
  public PoolTable {
    pools = List.copyOf(pools);
  }
}
