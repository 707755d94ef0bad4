package org.limpetring.routing.admit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetring.base.CallerId;

/**
 * Queue that serves callers in proportion to their weights and each caller's requests in FIFO
 * order.
 *
 * <p>Start-time fair queueing: Goyal, Vin and Cheng, "Start-time Fair Queueing: A Scheduling
 * Algorithm for Integrated Services Packet Switching Networks", SIGCOMM 1996. A caller that was
 * idle starts at the current virtual time, so it is neither starved nor credited for its idle time.
 */
final class FairQueue {

  private static final class CallerQueue {
    final Deque<Ticket> tickets = new ArrayDeque<>();
    int weight = 1;
    double finishTag;

    double startTag(double virtualTime) {
      return Math.max(virtualTime, finishTag);
    }
  }

  private final int maxPerCaller;
  private final Map<CallerId, CallerQueue> queues = new HashMap<>();
  private double virtualTime;
  private int size;

  FairQueue(int maxPerCaller) {
    this.maxPerCaller = maxPerCaller;
  }

  int size() {
    return size;
  }

  int sizeOf(CallerId caller) {
    CallerQueue queue = queues.get(caller);
    return queue == null ? 0 : queue.tickets.size();
  }

  /** Sum of the weights of all callers with queued requests, including {@code caller}. */
  int activeWeight(CallerId caller, int weight) {
    int sum = weight;
    for (Map.Entry<CallerId, CallerQueue> item : queues.entrySet()) {
      boolean isOther = !item.getKey().equals(caller);
      sum += isOther && !item.getValue().tickets.isEmpty() ? item.getValue().weight : 0;
    }
    return sum;
  }

  /** Appends a ticket; returns false if the caller's queue is full. */
  boolean add(Ticket ticket) {
    CallerQueue queue = queues.computeIfAbsent(ticket.caller(), caller -> new CallerQueue());
    if (queue.tickets.size() >= maxPerCaller) {
      return false;
    }
    queue.weight = ticket.weight();
    queue.tickets.addLast(ticket);
    size++;
    return true;
  }

  /** Returns the first ticket of each caller, in the order in which they should be served. */
  List<Ticket> firstTickets() {
    List<CallerQueue> waiting = new ArrayList<>();
    for (CallerQueue queue : queues.values()) {
      if (!queue.tickets.isEmpty()) {
        waiting.add(queue);
      }
    }
    waiting.sort(
        Comparator.comparingDouble((CallerQueue queue) -> queue.startTag(virtualTime))
            .thenComparingLong(queue -> queue.tickets.getFirst().number()));
    return waiting.stream().map(queue -> queue.tickets.getFirst()).toList();
  }

  /** Removes a ticket that is served now and charges its caller. */
  void serve(Ticket ticket) {
    CallerQueue queue = queues.get(ticket.caller());
    if (queue == null || !remove(ticket)) {
      return;
    }
    charge(queue, ticket.weight());
  }

  /** Charges a caller whose request is served without queueing. */
  void serveUnqueued(Ticket ticket) {
    charge(queues.computeIfAbsent(ticket.caller(), caller -> new CallerQueue()), ticket.weight());
  }

  private void charge(CallerQueue queue, int weight) {
    double startTag = queue.startTag(virtualTime);
    virtualTime = startTag;
    queue.finishTag = startTag + 1.0 / weight;
  }

  /** Removes a ticket without charging its caller; returns whether it was queued. */
  boolean remove(Ticket ticket) {
    CallerQueue queue = queues.get(ticket.caller());
    boolean isFound = queue != null && queue.tickets.remove(ticket);
    size -= isFound ? 1 : 0;
    return isFound;
  }

  /** Returns all tickets, oldest first within each caller. */
  List<Ticket> tickets() {
    List<Ticket> all = new ArrayList<>();
    for (CallerQueue queue : queues.values()) {
      all.addAll(queue.tickets);
    }
    return all;
  }
}
