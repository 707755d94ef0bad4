package org.limpetring.peer;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.limpetring.peer.proto.Envelope;

/**
 * Threads that run the handler, apart for messages that wait for the platform, so that these never
 * hold up probes.
 */
final class HandlerLanes {

  private static final int QUEUE_LIMIT = 1_024;
  private static final long STOP_MS = 1_000;

  private final ThreadPoolExecutor quick;
  private final ThreadPoolExecutor waiting;

  HandlerLanes(int threads) {
    this.quick = pool("peer-quick", threads);
    this.waiting = pool("peer-waiting", threads);
  }

  /** Runs the task on the lane of the message, or drops and counts it where the lane is full. */
  void run(Envelope message, Runnable task) {
    try {
      (mayWait(message) ? waiting : quick).execute(task);
    } catch (RejectedExecutionException full) {
      PeerMetrics.DROPPED.labelValues("handler_queue_full").inc();
    }
  }

  void close() {
    quick.shutdownNow();
    waiting.shutdownNow();
    try {
      quick.awaitTermination(STOP_MS, TimeUnit.MILLISECONDS);
      waiting.awaitTermination(STOP_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean mayWait(Envelope message) {
    return switch (message.getBodyCase()) {
      case PLATFORM_RELAY_REQUEST, CLAIM_REQUEST, PING_REQUEST -> true;
      default -> false;
    };
  }

  private static ThreadPoolExecutor pool(String name, int threads) {
    ThreadPoolExecutor pool =
        new ThreadPoolExecutor(
            threads,
            threads,
            30,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(QUEUE_LIMIT),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    pool.allowCoreThreadTimeOut(true);
    return pool;
  }
}
