package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;
import org.limpetring.base.LogEvent;

/** Named threads for the daemon's control tasks, all stopped together. */
@Singleton
public final class DaemonThreads {

  private static final Logger LOGGER = Logger.getLogger(DaemonThreads.class);

  private final List<ExecutorService> pools = new CopyOnWriteArrayList<>();
  private final List<ScheduledFuture<?>> tasks = new CopyOnWriteArrayList<>();

  /** Starts without any thread. */
  @Inject
  public DaemonThreads() {}

  /** Pool of {@code count} threads whose names start with {@code name}. */
  public ExecutorService pool(String name, int count) {
    ExecutorService pool = Executors.newFixedThreadPool(count, factory(name));
    pools.add(pool);
    return pool;
  }

  /** Runs {@code task} repeatedly on its own thread, with {@code periodMs} between two runs. */
  public void runPeriodically(String name, long periodMs, Runnable task) {
    ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(factory(name));
    pools.add(scheduler);
    tasks.add(
        scheduler.scheduleWithFixedDelay(
            () -> runAndLogFailure(name, task), 0, periodMs, TimeUnit.MILLISECONDS));
  }

  /** Stops all threads; running tasks are interrupted. */
  public void close() {
    tasks.forEach(task -> task.cancel(true));
    pools.forEach(ExecutorService::shutdownNow);
  }

  private static void runAndLogFailure(String name, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException failure) {
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, name, failure);
    }
  }

  private static ThreadFactory factory(String name) {
    AtomicInteger next = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + next.getAndIncrement());
      thread.setDaemon(true);
      return thread;
    };
  }
}
