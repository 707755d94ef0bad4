package org.limpetring.store.client;

import org.jboss.logging.Logger;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.WatchResult;

/**
 * Watches the objects under one prefix on its own thread.
 *
 * <p>Lists the objects once and then watches for changes. It lists again if the platform has
 * compacted the revision, if the revision decreases or if the listener fails. The store must end
 * each watch soon after its wait.
 */
public final class ObjectWatcher implements AutoCloseable {

  private static final Logger LOGGER = Logger.getLogger(ObjectWatcher.class);
  private static final long UNSET = -1;
  private static final long STOP_TIMEOUT_MS = 5_000;

  private final ObjectStore store;
  private final String prefix;
  private final ObjectListener listener;
  private final Clock clock;
  private final Pause pause;
  private final Backoff backoff;
  private final long waitMs;
  private final Thread thread;
  private volatile boolean closed;
  private long revision = UNSET;
  private long downSinceMs = UNSET;

  /**
   * Creates a watcher; {@link #start} starts its thread.
   *
   * @param waitMs wait of each watch call, which is also the approximate interval of confirmations
   */
  public ObjectWatcher(
      ObjectStore store,
      String prefix,
      ObjectListener listener,
      Clock clock,
      Pause pause,
      Backoff backoff,
      long waitMs) {
    this.store = store;
    this.prefix = prefix;
    this.listener = listener;
    this.clock = clock;
    this.pause = pause;
    this.backoff = backoff;
    this.waitMs = waitMs;
    this.thread = new Thread(this::run, "watch-" + prefix);
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Stops the thread and interrupts a running call. */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(STOP_TIMEOUT_MS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    while (!closed) {
      try {
        pauseAfter(step());
      } catch (InterruptedException interrupted) {
        return;
      } catch (RuntimeException failure) {
        LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "watch of " + prefix, failure);
        restart("listener failed");
        pauseAfterFailure();
      }
    }
  }

  /**
   * Makes one call and forwards its result to the listener; returns the pause before the next call.
   */
  long step() {
    return revision == UNSET ? list() : watch();
  }

  private long list() {
    long startMs = clock.nowMs();
    ListResult result = store.list(prefix);
    if (result instanceof ListResult.Unavailable unavailable) {
      return onFailure(unavailable.reason());
    }
    ListResult.Listed listed = (ListResult.Listed) result;
    listener.onSnapshot(listed.objects(), listed.revision());
    revision = listed.revision();
    onSuccess(startMs);
    return 0;
  }

  private long watch() {
    long startMs = clock.nowMs();
    WatchResult result = store.watch(prefix, revision, waitMs);
    if (result instanceof WatchResult.Unavailable unavailable) {
      return onFailure(unavailable.reason());
    }
    if (result instanceof WatchResult.Compacted compacted) {
      restart("compacted up to " + compacted.oldestRevision());
      return 0;
    }
    WatchResult.Changes changes = (WatchResult.Changes) result;
    if (changes.revision() < revision) {
      restart("revision decreased to " + changes.revision());
      return 0;
    }
    for (WatchResult.Change change : changes.changes()) {
      listener.onChange(change);
    }
    revision = changes.revision();
    long elapsedMs = clock.nowMs() - startMs;
    if (!changes.changes().isEmpty()) {
      onSuccess(startMs);
      return 0;
    }
    onSuccess(startMs + Math.min(elapsedMs, waitMs));
    return Math.max(0, waitMs - elapsedMs);
  }

  private void restart(String reason) {
    LogEvent.WATCH_RESTARTED.log(LOGGER, prefix, reason);
    revision = UNSET;
  }

  private long onFailure(String reason) {
    if (downSinceMs == UNSET) {
      downSinceMs = clock.nowMs();
      LogEvent.PLATFORM_DOWN.log(LOGGER, reason);
    }
    return backoff.nextMs();
  }

  private void onSuccess(long confirmedMs) {
    if (downSinceMs != UNSET) {
      LogEvent.PLATFORM_UP.log(LOGGER, clock.nowMs() - downSinceMs);
      downSinceMs = UNSET;
    }
    backoff.reset();
    listener.onConfirmed(confirmedMs);
  }

  private void pauseAfter(long pauseMs) throws InterruptedException {
    if (pauseMs > 0) {
      pause.pauseMs(pauseMs);
    }
  }

  private void pauseAfterFailure() {
    try {
      pause.pauseMs(backoff.nextMs());
    } catch (InterruptedException interrupted) {
      closed = true;
    }
  }
}
