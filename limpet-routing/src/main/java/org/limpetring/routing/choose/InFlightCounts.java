package org.limpetring.routing.choose;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.limpetring.base.GroupId;

/** Counts the requests that this daemon has in progress at each group. Thread-safe. */
public final class InFlightCounts {

  private final ConcurrentMap<GroupId, Integer> counts = new ConcurrentHashMap<>();
  private final AtomicInteger total = new AtomicInteger();

  /** Returns the number of requests in progress at {@code group}. */
  public int get(GroupId group) {
    return counts.getOrDefault(group, 0);
  }

  /** Returns the number of requests in progress at all groups. */
  public int total() {
    return total.get();
  }

  /**
   * Counts one more request at {@code group} unless {@code limit} is reached; returns whether it
   * did.
   */
  public boolean tryBegin(GroupId group, int limit) {
    boolean[] isBegun = new boolean[1];
    counts.compute(
        group,
        (id, count) -> {
          int before = count == null ? 0 : count;
          isBegun[0] = before < limit;
          return isBegun[0] ? Integer.valueOf(before + 1) : count;
        });
    total.addAndGet(isBegun[0] ? 1 : 0);
    return isBegun[0];
  }

  /** Counts one more request at {@code group}, without a limit. */
  public void begin(GroupId group) {
    tryBegin(group, Integer.MAX_VALUE);
  }

  /** Counts one request less; groups without a request use no memory. */
  public void end(GroupId group) {
    boolean[] isEnded = new boolean[1];
    counts.computeIfPresent(
        group,
        (id, count) -> {
          isEnded[0] = true;
          return count > 1 ? count - 1 : null;
        });
    total.addAndGet(isEnded[0] ? -1 : 0);
  }
}
