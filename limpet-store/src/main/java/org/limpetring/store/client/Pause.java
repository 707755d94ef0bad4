package org.limpetring.store.client;

/** Blocking wait; tests replace it by advancing a manual clock. */
@FunctionalInterface
public interface Pause {

  /**
   * Waits for {@code waitMs}.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  void pauseMs(long waitMs) throws InterruptedException;

  /** Returns a pause that puts the calling thread to sleep. */
  static Pause sleeping() {
    return Thread::sleep;
  }
}
