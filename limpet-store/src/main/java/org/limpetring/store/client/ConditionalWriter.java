package org.limpetring.store.client;

import java.util.concurrent.atomic.AtomicLong;
import org.limpetring.base.Clock;
import org.limpetring.base.Metrics;
import org.limpetring.store.ObjectStore;

/**
 * Updates objects by conditional writes that take effect at most once, even if responses are lost.
 *
 * <p>Values are JSON objects, to which the writer adds the field {@value StampedJson#FIELD}.
 * Objects written this way must not be deleted and recreated.
 */
public final class ConditionalWriter {

  private final ObjectStore store;
  private final String writerId;
  private final Clock clock;
  private final Pause pause;
  private final long firstPauseMs;
  private final long maxPauseMs;
  private final long seed;
  private final AtomicLong lastAttemptNumber = new AtomicLong();

  /**
   * Creates a writer.
   *
   * @param writerId id that is never used by another writer, for example unique to the daemon's
   *     process
   * @param firstPauseMs first pause after a failed call
   * @param maxPauseMs upper bound of the pauses after failed calls
   */
  public ConditionalWriter(
      ObjectStore store,
      String writerId,
      Clock clock,
      Pause pause,
      long firstPauseMs,
      long maxPauseMs,
      long seed) {
    this.store = store;
    this.writerId = writerId;
    this.clock = clock;
    this.pause = pause;
    this.firstPauseMs = firstPauseMs;
    this.maxPauseMs = maxPauseMs;
    this.seed = seed;
  }

  /**
   * Applies {@code change} to the object and retries after conflicts and failures until {@code
   * timeoutMs} have passed.
   */
  public UpdateResult update(String key, ObjectChange change, long timeoutMs) {
    long deadlineMs = clock.nowMs() + timeoutMs;
    Backoff backoff = new Backoff(firstPauseMs, maxPauseMs, seed + lastAttemptNumber.get());
    ConditionalUpdate update = new ConditionalUpdate(change, this::nextAttemptId);
    ConditionalUpdate.Step step = new ConditionalUpdate.Step.Read();
    while (true) {
      if (step instanceof ConditionalUpdate.Step.Done done) {
        return done.result();
      }
      if (clock.nowMs() >= deadlineMs) {
        return update.onDeadline("no success within " + timeoutMs + " ms");
      }
      if (step instanceof ConditionalUpdate.Step.Put put) {
        step = update.onWrite(store.put(key, put.value(), put.expectedVersion()));
        continue;
      }
      if (step instanceof ConditionalUpdate.Step.PauseThenRead failed) {
        Metrics.RETRIES.labelValues("platform_write").inc();
        if (!pauseUnlessInterrupted(backoff.nextMs())) {
          return update.onDeadline("interrupted after " + failed.reason());
        }
      }
      step = update.onRead(store.get(key));
    }
  }

  private String nextAttemptId() {
    return writerId + "#" + lastAttemptNumber.incrementAndGet();
  }

  private boolean pauseUnlessInterrupted(long waitMs) {
    try {
      pause.pauseMs(waitMs);
      return true;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
