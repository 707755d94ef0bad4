package org.limpetring.store.memory;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WriteResult;

/** Object store that injects outages and lost responses, and counts its calls. */
public final class FaultyObjectStore implements ObjectStore {

  private final ObjectStore store;
  private final AtomicBoolean down = new AtomicBoolean();
  private final AtomicInteger responsesToLose = new AtomicInteger();
  private final AtomicLong calls = new AtomicLong();

  /** Wraps {@code store}; no fault is active. */
  public FaultyObjectStore(ObjectStore store) {
    this.store = store;
  }

  /** Starts or ends an outage, during which every call is rejected. */
  public void setDown(boolean isDown) {
    down.set(isDown);
  }

  /** Drops the responses of the next {@code count} writes after they have taken effect. */
  public void loseAnswers(int count) {
    responsesToLose.set(count);
  }

  /** Number of calls so far; a waiting watch counts once. */
  public long calls() {
    return calls.get();
  }

  @Override
  public ReadResult get(String key) {
    return rejectsCall() ? new ReadResult.Unavailable("down") : store.get(key);
  }

  @Override
  public ListResult list(String prefix) {
    return rejectsCall() ? new ListResult.Unavailable("down") : store.list(prefix);
  }

  @Override
  public WriteResult put(String key, String value, long expectedVersion) {
    return rejectsCall()
        ? new WriteResult.Unavailable("down")
        : loseResponse(store.put(key, value, expectedVersion));
  }

  @Override
  public WriteResult delete(String key, long expectedVersion) {
    return rejectsCall()
        ? new WriteResult.Unavailable("down")
        : loseResponse(store.delete(key, expectedVersion));
  }

  @Override
  public WatchResult watch(String prefix, long afterRevision, long waitMs) {
    return rejectsCall()
        ? new WatchResult.Unavailable("down")
        : store.watch(prefix, afterRevision, waitMs);
  }

  private boolean rejectsCall() {
    calls.incrementAndGet();
    return down.get();
  }

  private WriteResult loseResponse(WriteResult result) {
    int remaining = responsesToLose.getAndUpdate(count -> Math.max(0, count - 1));
    return remaining > 0 ? new WriteResult.Unknown("answer lost") : result;
  }
}
