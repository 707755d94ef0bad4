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

/** Threads of the daemon's control work, all named and all ended together. */
@Singleton
public final class DaemonThreads {

  private static final Logger LOGGER = Logger.getLogger(DaemonThreads.class);

  private final List<ExecutorService> pools = new CopyOnWriteArrayList<>();
  private final List<ScheduledFuture<?>> tasks = new CopyOnWriteArrayList<>();

  /** Starts without a thread. */
  @Inject
  public DaemonThreads() {}

  /** Pool of {@code count} threads named after {@code name}. */
  public ExecutorService pool(String name, int count) {
    ExecutorService pool = Executors.newFixedThreadPool(count, factory(name));
    pools.add(pool);
    return pool;
  }

  /** Runs {@code task} on a thread of its own, {@code periodMs} after each end of it. */
  public void every(String name, long periodMs, Runnable task) {
    ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(factory(name));
    pools.add(scheduler);
    tasks.add(
        scheduler.scheduleWithFixedDelay(
            () -> runGuarded(name, task), 0, periodMs, TimeUnit.MILLISECONDS));
  }

  /** Ends all threads; tasks in progress are interrupted. */
  public void close() {
    tasks.forEach(task -> task.cancel(true));
    pools.forEach(ExecutorService::shutdownNow);
  }

  private static void runGuarded(String name, Runnable task) {
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
