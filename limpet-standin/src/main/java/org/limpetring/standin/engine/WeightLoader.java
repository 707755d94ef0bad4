package org.limpetring.standin.engine;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Weight store that lets a limited number of hosts load at the same time. */
public final class WeightLoader implements AutoCloseable {

  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "weights");
            thread.setDaemon(true);
            return thread;
          });
  private final Queue<Load> queue = new ArrayDeque<>();
  private int free;

  /** Permits {@code loadsAtOnce} loads; 0 stands for any number. */
  public WeightLoader(int loadsAtOnce) {
    free = loadsAtOnce == 0 ? Integer.MAX_VALUE : loadsAtOnce;
  }

  /** Runs {@code done} once a permit was free and {@code loadMs} have passed. */
  synchronized void load(long loadMs, Runnable done) {
    queue.add(new Load(loadMs, done));
    startNext();
  }

  /** Runs {@code done} after {@code timeMs} without using a permit. */
  void after(long timeMs, Runnable done) {
    schedule(timeMs, done);
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private synchronized void startNext() {
    while (free > 0 && !queue.isEmpty()) {
      Load load = queue.remove();
      free--;
      schedule(load.loadMs(), () -> finish(load));
    }
  }

  private void finish(Load load) {
    synchronized (this) {
      free++;
    }
    load.done().run();
    startNext();
  }

  private void schedule(long timeMs, Runnable task) {
    ScheduledFuture<?> ignored = timer.schedule(task, timeMs, TimeUnit.MILLISECONDS);
  }

  private record Load(long loadMs, Runnable done) {}
}
