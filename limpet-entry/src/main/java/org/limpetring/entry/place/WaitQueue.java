package org.limpetring.entry.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests of one pool and model that wait for a place, in the order in which they get one.
 *
 * <p>Rank first; within a rank those that can still be on time, the earliest limit first; those
 * that came back after a refusal go before new arrivals that are late too.
 */
public final class WaitQueue<T> {

  /** A waiting request. */
  public record Waiting<T>(Demand demand, T request) {}

  private static final Comparator<Demand> ORDER =
      Comparator.comparingInt(Demand::rank)
          .thenComparing(Demand::isCallerRetry)
          .thenComparingLong(Demand::onTimeDeadlineMs);

  private final List<Waiting<T>> waiting = new ArrayList<>();

  /** Adds a request. */
  public void add(Demand demand, T request) {
    int at = waiting.size();
    while (at > 0 && ORDER.compare(waiting.get(at - 1).demand(), demand) > 0) {
      at--;
    }
    waiting.add(at, new Waiting<>(demand, request));
  }

  /** Removes a request; returns whether it waited. */
  public boolean remove(T request) {
    return waiting.removeIf(each -> each.request() == request);
  }

  /** Requests in their order; a copy. */
  public List<Waiting<T>> inOrder() {
    return List.copyOf(waiting);
  }

  /** Requests that wait. */
  public int size() {
    return waiting.size();
  }

  /** Requests that would go before a new one. */
  public int ahead(Demand demand) {
    int count = 0;
    for (Waiting<T> each : waiting) {
      if (ORDER.compare(each.demand(), demand) <= 0) {
        count++;
      }
    }
    return count;
  }
}
