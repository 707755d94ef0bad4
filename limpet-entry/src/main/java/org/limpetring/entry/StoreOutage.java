package org.limpetring.entry;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decides which of a daemon's watchers calls a store that is failing.
 *
 * <p>Load pattern: the store is down, or turns a third of a large fleet away, for many seconds; all
 * watchers of all daemons retry, and each refused call counts. So one watcher retries, and the
 * others resume as soon as any call succeeds.
 */
final class StoreOutage {

  private final List<Runnable> waiting = new ArrayList<>();
  private @Nullable Object prober;

  /** Whether the watcher is the one that retries; the first one that asks is. */
  boolean isProber(Object watcher) {
    if (prober == null) {
      prober = watcher;
    }
    return prober == watcher;
  }

  /** Runs the call once the store answers again. */
  void awaitEnd(Runnable call) {
    waiting.add(call);
  }

  /** A call of any watcher succeeded. */
  void onSuccess() {
    prober = null;
    List<Runnable> calls = List.copyOf(waiting);
    waiting.clear();
    calls.forEach(Runnable::run);
  }
}
