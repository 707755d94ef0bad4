package org.limpetring.routing.choose;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.limpetring.base.GroupId;

/** Requests that this daemon has in progress at each group; safe for use by many threads. */
public final class InFlightCounts {

  private final ConcurrentMap<GroupId, Integer> counts = new ConcurrentHashMap<>();

  /** Requests in progress at {@code group}. */
  public int get(GroupId group) {
    return counts.getOrDefault(group, 0);
  }

  /** Counts one more request at {@code group}. */
  public void begin(GroupId group) {
    counts.merge(group, 1, Integer::sum);
  }

  /** Counts one request less; groups without a request take no memory. */
  public void end(GroupId group) {
    counts.computeIfPresent(group, (id, count) -> count > 1 ? count - 1 : null);
  }
}
