package org.limpetring.daemon.caller;

import org.limpetring.base.Clock;

/** Counts the requests in progress, so that a planned stop can wait for them. */
public final class InProgress {

  private int count;

  /** Notes that a request began. */
  public synchronized void begin() {
    count++;
  }

  /** Notes that a request ended. */
  public synchronized void end() {
    count--;
    notifyAll();
  }

  /** Requests in progress now. */
  public synchronized int count() {
    return count;
  }

  /** Waits until none is in progress, {@code waitMs} at most; returns how many are left. */
  public synchronized int awaitNone(long waitMs, Clock clock) {
    long endMs = clock.nowMs() + waitMs;
    long leftMs = waitMs;
    while (count > 0 && leftMs > 0) {
      try {
        wait(leftMs);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return count;
      }
      leftMs = endMs - clock.nowMs();
    }
    return count;
  }
}
