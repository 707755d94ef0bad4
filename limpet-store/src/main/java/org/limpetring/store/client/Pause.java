package org.limpetring.store.client;

/** Way to wait, so that tests move a manual clock instead. */
@FunctionalInterface
public interface Pause {

  /**
   * Waits.
   *
   * @throws InterruptedException if the thread is asked to stop
   */
  void pauseMs(long waitMs) throws InterruptedException;

  /** Sleeps on the calling thread. */
  static Pause sleeping() {
    return Thread::sleep;
  }
}
