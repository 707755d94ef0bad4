package org.limpetring.store.client;

import org.jboss.logging.Logger;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.base.Metrics;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WriteResult;

/**
 * Object store that limits the rate of its calls by a shared budget. A call waits until the budget
 * permits it; if the wait would be too long, it is rejected without any effect and counted with the
 * result {@code over_budget}.
 */
public final class BudgetedObjectStore implements ObjectStore {

  private static final Logger LOGGER = Logger.getLogger(BudgetedObjectStore.class);
  private static final String BUDGET_SPENT_REASON = "call budget spent";

  private final ObjectStore store;
  private final CallBudget budget;
  private final Clock clock;
  private final Pause pause;
  private final long maxWaitMs;

  /**
   * Limits the calls to {@code store} by {@code budget}; a call waits {@code maxWaitMs} at most.
   */
  public BudgetedObjectStore(
      ObjectStore store, CallBudget budget, Clock clock, Pause pause, long maxWaitMs) {
    this.store = store;
    this.budget = budget;
    this.clock = clock;
    this.pause = pause;
    this.maxWaitMs = maxWaitMs;
  }

  @Override
  public ReadResult get(String key) {
    return tryAcquire("get") ? store.get(key) : new ReadResult.Unavailable(BUDGET_SPENT_REASON);
  }

  @Override
  public ListResult list(String prefix) {
    return tryAcquire("list")
        ? store.list(prefix)
        : new ListResult.Unavailable(BUDGET_SPENT_REASON);
  }

  @Override
  public WriteResult put(String key, String value, long expectedVersion) {
    return tryAcquire("put")
        ? store.put(key, value, expectedVersion)
        : new WriteResult.Unavailable(BUDGET_SPENT_REASON);
  }

  @Override
  public WriteResult delete(String key, long expectedVersion) {
    return tryAcquire("delete")
        ? store.delete(key, expectedVersion)
        : new WriteResult.Unavailable(BUDGET_SPENT_REASON);
  }

  @Override
  public WatchResult watch(String prefix, long afterRevision, long waitMs) {
    return tryAcquire("watch")
        ? store.watch(prefix, afterRevision, waitMs)
        : new WatchResult.Unavailable(BUDGET_SPENT_REASON);
  }

  private boolean tryAcquire(String kind) {
    long waitMs;
    synchronized (budget) {
      waitMs = budget.reserve(clock.nowMs(), maxWaitMs);
    }
    if (waitMs == 0) {
      return true;
    }
    LogEvent.PLATFORM_BUDGET_SPENT.log(LOGGER, kind);
    if (waitMs == CallBudget.REFUSED) {
      Metrics.PLATFORM_CALLS.labelValues(kind, "over_budget").inc();
      return false;
    }
    try {
      pause.pauseMs(waitMs);
      return true;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
