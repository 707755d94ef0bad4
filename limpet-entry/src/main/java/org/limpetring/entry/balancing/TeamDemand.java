package org.limpetring.entry.balancing;

/**
 * Requests of one team for one pool, as daemons tell each other.
 *
 * @param team identifies the team; see {@link #hash}
 * @param pool identifies the pool; see {@link #hash}
 * @param offeredPerMinute rate of callers' requests
 * @param admittedPerMinute rate of those that were sent to an upstream
 */
public record TeamDemand(int team, int pool, int offeredPerMinute, int admittedPerMinute) {

  /** Hash of a team's or pool's name on the wire; a collision only merges two rates. */
  public static int hash(String name) {
    return name.hashCode();
  }

  /** Returns the sum of two rates of the same team and pool. */
  TeamDemand plus(TeamDemand other) {
    return new TeamDemand(
        team,
        pool,
        offeredPerMinute + other.offeredPerMinute,
        admittedPerMinute + other.admittedPerMinute);
  }
}
