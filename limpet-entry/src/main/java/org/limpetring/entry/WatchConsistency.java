package org.limpetring.entry;

import java.util.Collection;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Rendezvous;
import org.limpetring.entry.port.PlatformStore.Consistency;

/**
 * Decides which daemons watch with linearizable reads.
 *
 * <p>The planner does, and announces what it reads; so do a few more, chosen by rendezvous hashing,
 * which tell the planner when its own watch is broken. All other daemons read stale data while they
 * receive from a planner.
 */
final class WatchConsistency {

  /** Number of daemons besides the planner whose watches are linearizable. */
  private static final int LINEARIZABLE_WATCHERS = 1;

  /** Rendezvous hash key that selects those daemons. */
  private static final String WATCHERS_HASH_KEY = "watchers";

  private WatchConsistency() {}

  /**
   * Consistency of a daemon's watches.
   *
   * @param plannerName the planner's name; null if the daemon doesn't receive from a planner
   */
  static Consistency of(
      String ownName, @Nullable String plannerName, Collection<String> knownNames) {
    if (plannerName == null || plannerName.equals(ownName)) {
      return Consistency.LINEARIZABLE;
    }
    Collection<String> others =
        knownNames.stream().filter(name -> !name.equals(plannerName)).toList();
    boolean isWatcher =
        Rendezvous.owners(WATCHERS_HASH_KEY, others, LINEARIZABLE_WATCHERS).contains(ownName);
    return isWatcher ? Consistency.LINEARIZABLE : Consistency.STALE;
  }
}
