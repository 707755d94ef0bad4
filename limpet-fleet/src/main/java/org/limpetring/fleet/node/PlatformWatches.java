package org.limpetring.fleet.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ForkJoinPool;
import java.util.function.Consumer;
import org.limpetring.base.Clock;
import org.limpetring.fleet.roster.RosterMachine;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;
import org.limpetring.store.client.Backoff;
import org.limpetring.store.client.ObjectListener;
import org.limpetring.store.client.ObjectWatcher;
import org.limpetring.store.client.Pause;
import org.limpetring.tables.ConfigKeys;

/** Runs the platform watches that a fleet machine requests, each on its own thread. */
final class PlatformWatches implements AutoCloseable {

  private static final long MIN_BACKOFF_MS = 200;
  private static final long MAX_BACKOFF_MS = 2_000;

  private final ObjectStore store;
  private final Clock clock;
  private final long waitMs;
  private final long seed;
  private final Consumer<WatchEvent> eventSink;
  private final Map<String, ObjectWatcher> watchers = new HashMap<>();
  private final Map<String, Listener> listeners = new HashMap<>();
  private final Map<String, Long> confirmedAtMs = new HashMap<>();

  /** Event of a watch, to be delivered on the machine's thread. */
  @FunctionalInterface
  interface WatchEvent {
    /** Delivers the event to {@code machine}. */
    List<FleetEffect> deliver(FleetMachine machine, long nowMs);
  }

  PlatformWatches(
      ObjectStore store, Clock clock, long waitMs, long seed, Consumer<WatchEvent> eventSink) {
    this.store = store;
    this.clock = clock;
    this.waitMs = waitMs;
    this.seed = seed;
    this.eventSink = eventSink;
  }

  /** Starts and stops watches so that exactly {@code prefixes} are watched. */
  void setPrefixes(Set<String> prefixes) {
    for (String prefix : List.copyOf(watchers.keySet())) {
      ObjectWatcher watcher = watchers.get(prefix);
      if (watcher != null && !prefixes.contains(prefix)) {
        watchers.remove(prefix);
        listeners.remove(prefix);
        confirmedAtMs.remove(prefix);
        // Closing waits for a running call and would block the machine's thread.
        ForkJoinPool.commonPool().execute(watcher::close);
      }
    }
    for (String prefix : prefixes) {
      if (!watchers.containsKey(prefix)) {
        Backoff backoff = new Backoff(MIN_BACKOFF_MS, MAX_BACKOFF_MS, seed);
        Listener listener = new Listener(prefix);
        ObjectWatcher watcher =
            new ObjectWatcher(store, prefix, listener, clock, Pause.sleeping(), backoff, waitMs);
        listeners.put(prefix, listener);
        watchers.put(prefix, watcher);
        watcher.start();
      }
    }
  }

  @Override
  public void close() {
    watchers.values().forEach(ObjectWatcher::close);
    watchers.clear();
  }

  /** Runs on the machine's thread, after the changes covered by the confirmation. */
  private void confirm(FleetMachine machine, String prefix, long atMs) {
    confirmedAtMs.put(prefix, atMs);
    Long accepted = confirmedAtMs.get(ConfigKeys.ACCEPTED);
    Long roster = confirmedAtMs.get(RosterMachine.KEY);
    if (accepted != null && roster != null) {
      machine.onPlatformConfirmed(Math.min(accepted, roster));
    }
  }

  private final class Listener implements ObjectListener {
    private final String prefix;

    Listener(String prefix) {
      this.prefix = prefix;
    }

    @Override
    public void onSnapshot(List<StoredObject> objects, long revision) {
      eventSink.accept(
          (machine, nowMs) -> {
            List<FleetEffect> effects = new ArrayList<>();
            for (StoredObject object : objects) {
              effects.addAll(machine.onStored(object.key(), object.value(), nowMs));
            }
            reportSourceChange(machine, revision, nowMs);
            return effects;
          });
    }

    @Override
    public void onChange(WatchResult.Change change) {
      eventSink.accept(
          (machine, nowMs) -> {
            reportSourceChange(machine, change.version(), nowMs);
            return change.deleted()
                ? List.of()
                : machine.onStored(change.key(), change.value(), nowMs);
          });
    }

    @Override
    public void onConfirmed(long atMs) {
      // A watch that returns early and empty may have read the platform only at its start.
      eventSink.accept(
          (machine, nowMs) -> {
            // Events of a stopped watch refer to state delivered to a previous machine.
            if (listeners.get(prefix) == this) {
              confirm(machine, prefix, atMs - waitMs);
            }
            return List.of();
          });
    }

    private void reportSourceChange(FleetMachine machine, long revision, long nowMs) {
      boolean isSource =
          prefix.equals(ConfigKeys.TABLES_PREFIX) || prefix.equals(ConfigKeys.SERVICE_PREFIX);
      if (isSource) {
        machine.onSourcesChanged(revision, nowMs);
      }
    }
  }
}
