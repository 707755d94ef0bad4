package org.limpetring.base;

import java.util.concurrent.atomic.AtomicLong;

/** Clock that only {@link #advance} moves, for simulations and tests. */
public final class ManualClock implements Clock {

  private final AtomicLong currentMs;

  /** Starts at {@code startMs} milliseconds. */
  public ManualClock(long startMs) {
    this.currentMs = new AtomicLong(startMs);
  }

  @Override
  public long nowMs() {
    return currentMs.get();
  }

  /** Moves the clock forward by {@code stepMs} milliseconds. */
  public void advance(long stepMs) {
    if (stepMs < 0) {
      throw new IllegalArgumentException("clock cannot move backwards: " + stepMs);
    }
    currentMs.addAndGet(stepMs);
  }
}
