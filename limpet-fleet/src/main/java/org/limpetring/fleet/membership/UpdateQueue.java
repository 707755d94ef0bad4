package org.limpetring.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetring.base.DaemonId;

/** Selects the updates to piggyback on the next message, least often sent first. */
final class UpdateQueue {

  private static final int MAX_UPDATES_PER_MESSAGE = 6;
  private static final int SENDS_PER_DOUBLING = 3;

  private final Map<DaemonId, Entry> entries = new HashMap<>();

  private static final class Entry {
    private final MemberUpdate update;
    private int sendCount;

    Entry(MemberUpdate update) {
      this.update = update;
    }
  }

  void add(MemberUpdate update) {
    entries.put(update.daemon(), new Entry(update));
  }

  /** Updates for one message in a fleet of {@code size} daemons. */
  List<MemberUpdate> takeBatch(int size) {
    if (entries.isEmpty()) {
      return List.of();
    }
    List<Entry> sorted = new ArrayList<>(entries.values());
    sorted.sort(
        Comparator.comparingInt((Entry entry) -> entry.sendCount)
            .thenComparing(entry -> entry.update.daemon()));
    int maxSendCount = SENDS_PER_DOUBLING * (1 + Integer.SIZE - Integer.numberOfLeadingZeros(size));
    List<MemberUpdate> batch = new ArrayList<>();
    for (Entry entry : sorted.subList(0, Math.min(MAX_UPDATES_PER_MESSAGE, sorted.size()))) {
      batch.add(entry.update);
      entry.sendCount++;
      if (entry.sendCount >= maxSendCount) {
        entries.remove(entry.update.daemon());
      }
    }
    return batch;
  }
}
