package org.limpetring.standin.engine;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Simulates a weight store that limits the number of concurrent loads. */
public final class WeightLoader implements AutoCloseable {

  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "weights");
            thread.setDaemon(true);
            return thread;
          });
  private final Queue<Load> queue = new ArrayDeque<>();
  private int freePermits;

  /** Allows {@code loadsAtOnce} concurrent loads; 0 means unlimited. */
  public WeightLoader(int loadsAtOnce) {
    freePermits = loadsAtOnce == 0 ? Integer.MAX_VALUE : loadsAtOnce;
  }

  /** Acquires a permit, holds it for {@code loadMs}, then runs {@code onLoaded}. */
  synchronized void load(long loadMs, Runnable onLoaded) {
    queue.add(new Load(loadMs, onLoaded));
    startNext();
  }

  /** Runs {@code onLoaded} after {@code timeMs} without acquiring a permit. */
  void scheduleWithoutPermit(long timeMs, Runnable onLoaded) {
    schedule(timeMs, onLoaded);
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private synchronized void startNext() {
    while (freePermits > 0 && !queue.isEmpty()) {
      Load load = queue.remove();
      freePermits--;
      schedule(load.loadMs(), () -> finish(load));
    }
  }

  private void finish(Load load) {
    synchronized (this) {
      freePermits++;
    }
    load.onLoaded().run();
    startNext();
  }

  private void schedule(long timeMs, Runnable task) {
    ScheduledFuture<?> ignored = timer.schedule(task, timeMs, TimeUnit.MILLISECONDS);
  }

  private record Load(long loadMs, Runnable onLoaded) {}
}
