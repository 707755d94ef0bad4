package org.limpetring.standin.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Requests running on one engine and the priority queue of those waiting to run. */
final class Batch {

  private final PriorityQueue<Waiter> queue =
      new PriorityQueue<>(
          Comparator.comparingInt(Waiter::priority).reversed().thenComparingLong(Waiter::arrival));
  private long arrivals;
  private int running;

  synchronized int running() {
    return running;
  }

  synchronized int waiting() {
    return queue.size();
  }

  /** Adds a running request regardless of any limit and returns the number of running requests. */
  synchronized int enterUnlimited() {
    running++;
    return running;
  }

  /** Waits for one of {@code limit} slots; false if as many requests are queued already. */
  synchronized boolean enter(int limit, int priority) throws InterruptedException {
    if (queue.size() >= limit) {
      return false;
    }
    Waiter waiter = new Waiter(priority, arrivals++);
    queue.add(waiter);
    try {
      while (running >= limit || queue.peek() != waiter) {
        wait();
      }
      running++;
      return true;
    } finally {
      queue.remove(waiter);
      notifyAll();
    }
  }

  synchronized void leave() {
    running--;
    notifyAll();
  }

  private record Waiter(int priority, long arrival) {}
}
