package org.limpetring.daemon.caller;

import org.limpetring.base.Clock;

/** Counts the requests in progress, so that a graceful shutdown can wait for them. */
public final class InProgressRequests {

  private int count;

  /** Records the start of a request. */
  public synchronized void begin() {
    count++;
  }

  /** Records the end of a request. */
  public synchronized void end() {
    count--;
    notifyAll();
  }

  /** Requests in progress now. */
  public synchronized int count() {
    return count;
  }

  /** Waits up to {@code waitMs} until no request is in progress; returns how many are left. */
  public synchronized int awaitNone(long waitMs, Clock clock) {
    long deadlineAtMs = clock.nowMs() + waitMs;
    long remainingMs = waitMs;
    while (count > 0 && remainingMs > 0) {
      try {
        wait(remainingMs);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return count;
      }
      remainingMs = deadlineAtMs - clock.nowMs();
    }
    return count;
  }
}
