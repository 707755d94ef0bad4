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

/** Object store whose calls take their faults from a script; past its end they succeed. */
final class ScriptedObjectStore implements ObjectStore {

  /** What happens to one call. */
  enum Fault {
    NONE,
    DOWN,
    LOST_BEFORE_EFFECT,
    LOST_AFTER_EFFECT,
    /** The answer is lost and the write arrives later. */
    DELAYED,
    /** A rival writes just before the call. */
    RIVAL,
    /** More rivals write than an object remembers, just before the call. */
    MANY_RIVALS
  }

  private final ObjectStore store;
  private final Runnable rival;
  private final Queue<Fault> script = new ArrayDeque<>();
  private final List<Runnable> delayed = new ArrayList<>();

  ScriptedObjectStore(ObjectStore store, Runnable rival) {
    this.store = store;
    this.rival = rival;
  }

  void script(List<Fault> faults) {
    script.clear();
    script.addAll(faults);
  }

  /** Lets the delayed writes arrive. */
  void deliverDelayed() {
    delayed.forEach(Runnable::run);
    delayed.clear();
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
        delayed.add(() -> store.put(key, value, expectedVersion));
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
    if (fault == Fault.RIVAL) {
      rival.run();
    }
    if (fault == Fault.MANY_RIVALS) {
      for (int count = 0; count <= WriteStamps.MAX_STAMPS; count++) {
        rival.run();
      }
    }
    return fault;
  }
}
