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
 * Queue in which callers share by weight; each caller's own requests keep their order.
 *
 * <p>Start-time fair queueing: Goyal, Vin and Cheng, "Start-time Fair Queueing: A Scheduling
 * Algorithm for Integrated Services Packet Switching Networks", SIGCOMM 1996. A caller that was
 * idle starts at the present virtual time, so it is neither starved nor credited for the past.
 */
final class FairQueue {

  private static final class Line {
    final Deque<Ticket> tickets = new ArrayDeque<>();
    int weight = 1;
    double finishTag;

    double startTag(double virtualTime) {
      return Math.max(virtualTime, finishTag);
    }
  }

  private final int maxPerCaller;
  private final Map<CallerId, Line> lines = new HashMap<>();
  private double virtualTime;
  private int size;

  FairQueue(int maxPerCaller) {
    this.maxPerCaller = maxPerCaller;
  }

  int size() {
    return size;
  }

  int sizeOf(CallerId caller) {
    Line line = lines.get(caller);
    return line == null ? 0 : line.tickets.size();
  }

  /** Sum of the weights of the callers that wait, with {@code caller} among them. */
  int activeWeight(CallerId caller, int weight) {
    int sum = weight;
    for (Map.Entry<CallerId, Line> item : lines.entrySet()) {
      boolean isOther = !item.getKey().equals(caller);
      sum += isOther && !item.getValue().tickets.isEmpty() ? item.getValue().weight : 0;
    }
    return sum;
  }

  /** Appends a ticket, or returns false where the caller's line is full. */
  boolean add(Ticket ticket) {
    Line line = lines.computeIfAbsent(ticket.caller(), caller -> new Line());
    if (line.tickets.size() >= maxPerCaller) {
      return false;
    }
    line.weight = ticket.weight();
    line.tickets.addLast(ticket);
    size++;
    return true;
  }

  /** First ticket of each line, in the order in which they should be served. */
  List<Ticket> heads() {
    List<Line> waiting = new ArrayList<>();
    for (Line line : lines.values()) {
      if (!line.tickets.isEmpty()) {
        waiting.add(line);
      }
    }
    waiting.sort(
        Comparator.comparingDouble((Line line) -> line.startTag(virtualTime))
            .thenComparingLong(line -> line.tickets.getFirst().number()));
    return waiting.stream().map(line -> line.tickets.getFirst()).toList();
  }

  /** Takes out a ticket that is served now and charges its caller. */
  void serve(Ticket ticket) {
    Line line = lines.get(ticket.caller());
    if (line == null || !remove(ticket)) {
      return;
    }
    charge(line, ticket.weight());
  }

  /** Charges a caller whose request is served without waiting. */
  void serveAtOnce(Ticket ticket) {
    charge(lines.computeIfAbsent(ticket.caller(), caller -> new Line()), ticket.weight());
  }

  private void charge(Line line, int weight) {
    double start = line.startTag(virtualTime);
    virtualTime = start;
    line.finishTag = start + 1.0 / weight;
  }

  /** Takes out a ticket without charge; returns whether it waited. */
  boolean remove(Ticket ticket) {
    Line line = lines.get(ticket.caller());
    boolean isFound = line != null && line.tickets.remove(ticket);
    size -= isFound ? 1 : 0;
    return isFound;
  }

  /** All tickets, oldest first within each caller. */
  List<Ticket> tickets() {
    List<Ticket> all = new ArrayList<>();
    for (Line line : lines.values()) {
      all.addAll(line.tickets);
    }
    return all;
  }
}
