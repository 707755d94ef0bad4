package org.limpetring.peer;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.limpetring.peer.proto.Envelope;

/**
 * Thread pools that run the peer handler. Messages whose handling may block on the platform have
 * their own pool, so that they never delay membership probes.
 */
final class HandlerExecutors {

  private static final int MAX_QUEUED_TASKS = 1_024;
  private static final long STOP_TIMEOUT_MS = 1_000;

  private final ThreadPoolExecutor nonBlocking;
  private final ThreadPoolExecutor blocking;

  HandlerExecutors(int threads) {
    this.nonBlocking = newExecutor("peer-quick", threads);
    this.blocking = newExecutor("peer-waiting", threads);
  }

  /** Runs the task on the executor for its message; drops and counts it if the queue is full. */
  void run(Envelope message, Runnable task) {
    try {
      (mayBlock(message) ? blocking : nonBlocking).execute(task);
    } catch (RejectedExecutionException queueFull) {
      PeerMetrics.DROPPED.labelValues("handler_queue_full").inc();
    }
  }

  void close() {
    nonBlocking.shutdownNow();
    blocking.shutdownNow();
    try {
      nonBlocking.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      blocking.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean mayBlock(Envelope message) {
    return switch (message.getBodyCase()) {
      case PLATFORM_RELAY_REQUEST, CLAIM_REQUEST, PING_REQUEST -> true;
      default -> false;
    };
  }

  private static ThreadPoolExecutor newExecutor(String name, int threads) {
    ThreadPoolExecutor executor =
        new ThreadPoolExecutor(
            threads,
            threads,
            30,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(MAX_QUEUED_TASKS),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    executor.allowCoreThreadTimeOut(true);
    return executor;
  }
}
