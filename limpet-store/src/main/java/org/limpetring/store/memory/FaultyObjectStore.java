package org.limpetring.store.memory;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WriteResult;

/** Object store with switches for outages and lost answers; counts its calls. */
public final class FaultyObjectStore implements ObjectStore {

  private final ObjectStore store;
  private final AtomicBoolean down = new AtomicBoolean();
  private final AtomicInteger answersToLose = new AtomicInteger();
  private final AtomicLong calls = new AtomicLong();

  /** Puts switches before {@code store}. */
  public FaultyObjectStore(ObjectStore store) {
    this.store = store;
  }

  /** Refuses every call while {@code isDown}. */
  public void setDown(boolean isDown) {
    down.set(isDown);
  }

  /** Loses the answers of the next {@code count} writes after they have taken effect. */
  public void loseAnswers(int count) {
    answersToLose.set(count);
  }

  /** Calls so far; a waiting watch counts as one. */
  public long calls() {
    return calls.get();
  }

  @Override
  public ReadResult get(String key) {
    return refuses() ? new ReadResult.Unavailable("down") : store.get(key);
  }

  @Override
  public ListResult list(String prefix) {
    return refuses() ? new ListResult.Unavailable("down") : store.list(prefix);
  }

  @Override
  public WriteResult put(String key, String value, long expectedVersion) {
    return refuses()
        ? new WriteResult.Unavailable("down")
        : loseAnswer(store.put(key, value, expectedVersion));
  }

  @Override
  public WriteResult delete(String key, long expectedVersion) {
    return refuses()
        ? new WriteResult.Unavailable("down")
        : loseAnswer(store.delete(key, expectedVersion));
  }

  @Override
  public WatchResult watch(String prefix, long afterRevision, long waitMs) {
    return refuses()
        ? new WatchResult.Unavailable("down")
        : store.watch(prefix, afterRevision, waitMs);
  }

  private boolean refuses() {
    calls.incrementAndGet();
    return down.get();
  }

  private WriteResult loseAnswer(WriteResult result) {
    int left = answersToLose.getAndUpdate(count -> Math.max(0, count - 1));
    return left > 0 ? new WriteResult.Unknown("answer lost") : result;
  }
}
