package org.limpetring.store.client;

import org.jboss.logging.Logger;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.WatchResult;

/**
 * Follows the objects under one prefix on a thread of its own.
 *
 * <p>Lists once, then watches; lists again when the platform no longer knows the revision, when the
 * revision goes back or when the listener fails. The store must end each watch soon after its wait.
 */
public final class ObjectWatcher implements AutoCloseable {

  private static final Logger LOGGER = Logger.getLogger(ObjectWatcher.class);
  private static final long UNLISTED = -1;
  private static final long STOP_MS = 5_000;

  private final ObjectStore store;
  private final String prefix;
  private final ObjectListener listener;
  private final Clock clock;
  private final Pause pause;
  private final Backoff backoff;
  private final long waitMs;
  private final Thread thread;
  private volatile boolean closed;
  private long revision = UNLISTED;
  private long downSinceMs = UNLISTED;

  /**
   * Creates a watcher that does not run yet.
   *
   * @param waitMs wait of each watch; a confirmation arrives about this often
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

  /** Stops the thread; a running call is interrupted. */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(STOP_MS);
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
        pauseQuietly();
      }
    }
  }

  /** Makes one call and passes on its result; returns the pause before the next one. */
  long step() {
    return revision == UNLISTED ? list() : watch();
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
      restart("revision went back to " + changes.revision());
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
    revision = UNLISTED;
  }

  private long onFailure(String reason) {
    if (downSinceMs == UNLISTED) {
      downSinceMs = clock.nowMs();
      LogEvent.PLATFORM_DOWN.log(LOGGER, reason);
    }
    return backoff.nextMs();
  }

  private void onSuccess(long confirmedMs) {
    if (downSinceMs != UNLISTED) {
      LogEvent.PLATFORM_UP.log(LOGGER, clock.nowMs() - downSinceMs);
      downSinceMs = UNLISTED;
    }
    backoff.reset();
    listener.onConfirmed(confirmedMs);
  }

  private void pauseAfter(long pauseMs) throws InterruptedException {
    if (pauseMs > 0) {
      pause.pauseMs(pauseMs);
    }
  }

  private void pauseQuietly() {
    try {
      pause.pauseMs(backoff.nextMs());
    } catch (InterruptedException interrupted) {
      closed = true;
    }
  }
}
