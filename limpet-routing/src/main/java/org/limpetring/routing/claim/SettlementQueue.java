package org.limpetring.routing.claim;

import java.util.LinkedHashMap;
import java.util.Map;

/** Settlements that wait for a write, or are part of the write in progress. */
final class SettlementQueue {

  private static final int MAX_WAITING = 10_000;

  private final long delayMs;
  private final Map<String, ClaimSettlement> waiting = new LinkedHashMap<>();
  private final Map<String, ClaimSettlement> inWrite = new LinkedHashMap<>();
  private long dueMs = Long.MAX_VALUE;

  SettlementQueue(long delayMs) {
    this.delayMs = delayMs;
  }

  /** Adds a settlement; one that finds the queue full is lost and leaves its key claimed. */
  void add(ClaimSettlement settlement, long nowMs) {
    if (waiting.size() < MAX_WAITING) {
      waiting.put(settlement.attempt(), settlement);
      dueMs = Math.min(dueMs, nowMs + delayMs);
    }
  }

  boolean isEmpty() {
    return waiting.isEmpty() && inWrite.isEmpty();
  }

  boolean isDue(long nowMs) {
    return nowMs >= dueMs;
  }

  /** Applies all to {@code draft}; returns whether it changed. */
  boolean applyTo(ShardImage draft) {
    boolean isChanged = false;
    for (ClaimSettlement settlement : waiting.values()) {
      isChanged |= draft.settle(settlement);
    }
    inWrite.putAll(waiting);
    waiting.clear();
    dueMs = Long.MAX_VALUE;
    return isChanged;
  }

  /** The write took effect, or none was needed. */
  void written() {
    inWrite.clear();
  }

  /** The write had no certain effect; its settlements wait for the next one. */
  void restore(long nowMs) {
    Map<String, ClaimSettlement> newer = new LinkedHashMap<>(waiting);
    waiting.putAll(inWrite);
    waiting.putAll(newer);
    inWrite.clear();
    dueMs = waiting.isEmpty() ? Long.MAX_VALUE : nowMs + delayMs;
  }
}
