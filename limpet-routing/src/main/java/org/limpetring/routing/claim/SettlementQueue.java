package org.limpetring.routing.claim;

import java.util.LinkedHashMap;
import java.util.Map;

/** Queue of settlements that wait for a write or are part of the write in progress. */
final class SettlementQueue {

  private static final int MAX_QUEUED = 10_000;

  private final long delayMs;
  private final Map<String, ClaimSettlement> queued = new LinkedHashMap<>();
  private final Map<String, ClaimSettlement> inWrite = new LinkedHashMap<>();
  private long dueMs = Long.MAX_VALUE;

  SettlementQueue(long delayMs) {
    this.delayMs = delayMs;
  }

  /** Adds a settlement; if the queue is full it is dropped, which leaves its key claimed. */
  void add(ClaimSettlement settlement, long nowMs) {
    if (queued.size() < MAX_QUEUED) {
      queued.put(settlement.attempt(), settlement);
      dueMs = Math.min(dueMs, nowMs + delayMs);
    }
  }

  boolean isEmpty() {
    return queued.isEmpty() && inWrite.isEmpty();
  }

  boolean isDue(long nowMs) {
    return nowMs >= dueMs;
  }

  /** Applies all queued settlements to {@code draft}; returns whether it changed. */
  boolean applyTo(ShardImage draft) {
    boolean isChanged = false;
    for (ClaimSettlement settlement : queued.values()) {
      isChanged |= draft.settle(settlement);
    }
    inWrite.putAll(queued);
    queued.clear();
    dueMs = Long.MAX_VALUE;
    return isChanged;
  }

  /** The write succeeded, or none was needed. */
  void written() {
    inWrite.clear();
  }

  /** The write failed or its outcome is unknown; its settlements are queued for the next write. */
  void restore(long nowMs) {
    Map<String, ClaimSettlement> newer = new LinkedHashMap<>(queued);
    queued.putAll(inWrite);
    queued.putAll(newer);
    inWrite.clear();
    dueMs = queued.isEmpty() ? Long.MAX_VALUE : nowMs + delayMs;
  }
}
