package org.limpetring.standin.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Requests in progress on one engine and those queued before them, by priority. */
final class Batch {

  private final PriorityQueue<Place> queue =
      new PriorityQueue<>(
          Comparator.comparingInt(Place::priority).reversed().thenComparingLong(Place::arrival));
  private long arrivals;
  private int running;

  synchronized int running() {
    return running;
  }

  synchronized int waiting() {
    return queue.size();
  }

  /** Counts a request that runs at once, whatever the limit, and tells how many do now. */
  synchronized int enterNow() {
    running++;
    return running;
  }

  /** Waits for a free place among {@code limit}; false when the queue is longer than that. */
  synchronized boolean enter(int limit, int priority) throws InterruptedException {
    if (queue.size() >= limit) {
      return false;
    }
    Place place = new Place(priority, arrivals++);
    queue.add(place);
    try {
      while (running >= limit || queue.peek() != place) {
        wait();
      }
      running++;
      return true;
    } finally {
      queue.remove(place);
      notifyAll();
    }
  }

  synchronized void leave() {
    running--;
    notifyAll();
  }

  private record Place(int priority, long arrival) {}
}
