package org.limpetring.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetring.base.DaemonId;

/** Chooses which news travel with the next message: the least often sent first. */
final class NewsQueue {

  private static final int MAX_PER_MESSAGE = 6;
  private static final int SENDS_PER_DOUBLING = 3;

  private final Map<DaemonId, Entry> entries = new HashMap<>();

  private static final class Entry {
    private final MemberUpdate update;
    private int sends;

    Entry(MemberUpdate update) {
      this.update = update;
    }
  }

  void add(MemberUpdate update) {
    entries.put(update.daemon(), new Entry(update));
  }

  /** News for one message in a fleet of {@code size} daemons. */
  List<MemberUpdate> take(int size) {
    if (entries.isEmpty()) {
      return List.of();
    }
    List<Entry> sorted = new ArrayList<>(entries.values());
    sorted.sort(
        Comparator.comparingInt((Entry entry) -> entry.sends)
            .thenComparing(entry -> entry.update.daemon()));
    int maxSends = SENDS_PER_DOUBLING * (1 + Integer.SIZE - Integer.numberOfLeadingZeros(size));
    List<MemberUpdate> chosen = new ArrayList<>();
    for (Entry entry : sorted.subList(0, Math.min(MAX_PER_MESSAGE, sorted.size()))) {
      chosen.add(entry.update);
      entry.sends++;
      if (entry.sends >= maxSends) {
        entries.remove(entry.update.daemon());
      }
    }
    return chosen;
  }
}
