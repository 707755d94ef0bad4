package org.limpetring.store.client;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WriteResult;

/**
 * Object store that injects one scripted fault per call; calls after the end of the script succeed.
 */
final class ScriptedObjectStore implements ObjectStore {

  /** Fault injected into one call. */
  enum Fault {
    NONE,
    DOWN,
    LOST_BEFORE_EFFECT,
    LOST_AFTER_EFFECT,
    /** The response is lost and the write is applied later. */
    DELAYED,
    /** Another writer writes just before the call. */
    CONCURRENT_WRITE,
    /** More writes than an object keeps stamps for happen just before the call. */
    MANY_CONCURRENT_WRITES
  }

  private final ObjectStore store;
  private final Runnable concurrentWrite;
  private final Queue<Fault> script = new ArrayDeque<>();
  private final List<Runnable> delayedWrites = new ArrayList<>();

  ScriptedObjectStore(ObjectStore store, Runnable concurrentWrite) {
    this.store = store;
    this.concurrentWrite = concurrentWrite;
  }

  void script(List<Fault> faults) {
    script.clear();
    script.addAll(faults);
  }

  /** Applies the delayed writes. */
  void deliverDelayedWrites() {
    delayedWrites.forEach(Runnable::run);
    delayedWrites.clear();
  }

  @Override
  public ReadResult get(String key) {
    return next() == Fault.DOWN ? new ReadResult.Unavailable("down") : store.get(key);
  }

  @Override
  public WriteResult put(String key, String value, long expectedVersion) {
    return switch (next()) {
      case DOWN -> new WriteResult.Unavailable("down");
      case LOST_BEFORE_EFFECT -> new WriteResult.Unknown("lost");
      case LOST_AFTER_EFFECT -> {
        store.put(key, value, expectedVersion);
        yield new WriteResult.Unknown("lost");
      }
      case DELAYED -> {
        delayedWrites.add(() -> store.put(key, value, expectedVersion));
        yield new WriteResult.Unknown("lost");
      }
      default -> store.put(key, value, expectedVersion);
    };
  }

  @Override
  public ListResult list(String prefix) {
    throw new UnsupportedOperationException();
  }

  @Override
  public WriteResult delete(String key, long expectedVersion) {
    throw new UnsupportedOperationException();
  }

  @Override
  public WatchResult watch(String prefix, long afterRevision, long waitMs) {
    throw new UnsupportedOperationException();
  }

  private Fault next() {
    Fault fault = script.isEmpty() ? Fault.NONE : script.remove();
    if (fault == Fault.CONCURRENT_WRITE) {
      concurrentWrite.run();
    }
    if (fault == Fault.MANY_CONCURRENT_WRITES) {
      for (int count = 0; count <= WriteStamps.MAX_STAMPS; count++) {
        concurrentWrite.run();
      }
    }
    return fault;
  }
}
