package org.limpetring.tables;

/**
 * Active configuration: both tables and the service marks, joined and validated.
 *
 * @param generation increases by one with each accepted change
 * @param sourceRevision store revision of the newest object that was joined
 */
public record AcceptedConfig(
    long generation, long sourceRevision, RouteTable routes, PoolTable pools, ServiceMarks marks) {

  /** Empty configuration, used before the first one is accepted. */
  public static final AcceptedConfig NONE =
      new AcceptedConfig(0, 0, RouteTable.EMPTY, PoolTable.EMPTY, ServiceMarks.NONE);
}
