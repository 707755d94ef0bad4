package org.limpetring.tables;

/**
 * Configuration in force: both tables and the service marks, joined and checked.
 *
 * @param generation grows by one with each accepted change
 * @param sourceRevision store revision of the newest object that was joined
 */
public record AcceptedConfig(
    long generation, long sourceRevision, RouteTable routes, PoolTable pools, ServiceMarks marks) {

  /** Before the first acceptance. */
  public static final AcceptedConfig NONE =
      new AcceptedConfig(0, 0, RouteTable.EMPTY, PoolTable.EMPTY, ServiceMarks.NONE);
}
