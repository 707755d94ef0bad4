package org.limpetring.entry.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Priority queue of the requests of one pool and model that wait for a slot.
 *
 * <p>Ordered by rank. Within a rank, new requests precede retries of refused requests, which are
 * late already, and requests within their team's share precede those beyond it; all are ordered by
 * their on-time deadline, earliest first.
 */
public final class WaitQueue<T> {

  /** A queued request. */
  public record Waiting<T>(Demand demand, boolean isBeyondShare, T request) {}

  private static final Comparator<Waiting<?>> ORDER =
      Comparator.comparingInt((Waiting<?> each) -> each.demand().rank())
          .thenComparing(each -> each.demand().isCallerRetry())
          .thenComparing(Waiting::isBeyondShare)
          .thenComparingLong(each -> each.demand().onTimeDeadlineMs());

  /** Time after the refusal of a new request in which the pool counts as overloaded. */
  private static final long REFUSING_MS = 500;

  /**
   * Time after such a refusal in which slots are kept. Longer than the gaps between refusals at one
   * of hundreds of daemons.
   */
  private static final long SHORT_MS = 1_000;

  private final List<Waiting<T>> waiting = new ArrayList<>();
  private final ReturnSchedule returns = new ReturnSchedule();
  private long newRefusedMs = Long.MIN_VALUE / 2;

  /** Returns the schedule for the callers that this pool refuses. */
  public ReturnSchedule returns() {
    return returns;
  }

  /** Adds a request within its team's share. */
  public void add(Demand demand, T request) {
    add(demand, false, request);
  }

  /** Adds a request; see {@link TeamShares}. */
  public void add(Demand demand, boolean isBeyondShare, T request) {
    Waiting<T> added = new Waiting<>(demand, isBeyondShare, request);
    int at = waiting.size();
    while (at > 0 && ORDER.compare(waiting.get(at - 1), added) > 0) {
      at--;
    }
    waiting.add(at, added);
  }

  /** Removes a request; returns whether it was queued. */
  public boolean remove(T request) {
    return waiting.removeIf(each -> each.request() == request);
  }

  /** Called when a request was refused for want of a slot. */
  public void onRefused(Demand demand, long nowMs) {
    if (!demand.isCallerRetry()) {
      newRefusedMs = nowMs;
    }
  }

  /** Whether new requests were lately refused for want of a slot. */
  public boolean isRefusingNew(long nowMs) {
    return nowMs - newRefusedMs < REFUSING_MS;
  }

  /**
   * Whether new requests were lately refused, or more arrive than can be served.
   *
   * @param capacityPerMs requests per ms that this daemon can serve; 0 if unknown
   */
  public boolean isOverloaded(double capacityPerMs, long nowMs) {
    boolean isExceeded = capacityPerMs > 0 && returns.arrivalsPerMs(nowMs) >= capacityPerMs;
    return isRefusingNew(nowMs) || isExceeded;
  }

  /** Whether new requests were refused so lately that a daemon of few requests keeps its slots. */
  public boolean isShort(long nowMs) {
    return nowMs - newRefusedMs < SHORT_MS;
  }

  /** Returns a copy of the queue in order. */
  public List<Waiting<T>> inOrder() {
    return List.copyOf(waiting);
  }

  /** Returns the number of queued requests. */
  public int size() {
    return waiting.size();
  }

  /** Returns the number of queued requests that would go before a new one within its share. */
  public int ahead(Demand demand) {
    return ahead(demand, false);
  }

  /** Returns the number of queued requests that would go before a new one. */
  public int ahead(Demand demand, boolean isBeyondShare) {
    Waiting<String> added = new Waiting<>(demand, isBeyondShare, "");
    int count = 0;
    for (Waiting<T> each : waiting) {
      if (ORDER.compare(each, added) <= 0) {
        count++;
      }
    }
    return count;
  }
}
