package org.limpetring.routing.claim;

import com.google.common.base.Splitter;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.RunState;

/**
 * Content of the object of one shard: claimed keys, and the time up to which keys are forgotten.
 *
 * <p>A key is forgotten only by raising the floor over its time, and a key at or under the floor is
 * never claimed. So no clock, however wrong, lets a forgotten key run again.
 */
final class ShardImage {

  /** Keys in one shard; keeps the object under the platform's limit for values. */
  static final int MAX_KEYS = 12_000;

  private static final String FORM = "1";
  private static final int RADIX = 36;
  private static final int FIELD_COUNT = 5;

  private final Map<ClaimId, ClaimEntry> entries;
  private long floorMs;

  ShardImage() {
    this(new LinkedHashMap<>(), 0);
  }

  private ShardImage(Map<ClaimId, ClaimEntry> entries, long floorMs) {
    this.entries = entries;
    this.floorMs = floorMs;
  }

  ShardImage copy() {
    return new ShardImage(new LinkedHashMap<>(entries), floorMs);
  }

  long floorMs() {
    return floorMs;
  }

  int size() {
    return entries.size();
  }

  @Nullable ClaimEntry find(ClaimId id) {
    return entries.get(id);
  }

  /** Forgets the keys up to {@code nextMs}, unless more is forgotten already. */
  void raiseFloor(long nextMs) {
    if (nextMs <= floorMs) {
      return;
    }
    floorMs = nextMs;
    entries.values().removeIf(entry -> entry.keyTimeMs() <= nextMs);
  }

  void add(ClaimRequest request) {
    entries.put(
        request.id(),
        new ClaimEntry(
            request.keyTimeMs(),
            request.attempt(),
            request.requestDigest(),
            ClaimEntry.Fate.CLAIMED));
  }

  /** Applies a settlement; returns whether the image changed. */
  boolean settle(ClaimSettlement settlement) {
    ClaimEntry entry = entries.get(settlement.id());
    if (entry == null || !entry.attempt().equals(settlement.attempt())) {
      return false;
    }
    if (settlement.runState() == RunState.NOT_RUN) {
      entries.remove(settlement.id());
      return true;
    }
    ClaimEntry.Fate fate =
        settlement.runState() == RunState.RAN ? ClaimEntry.Fate.DONE : ClaimEntry.Fate.UNKNOWN;
    entries.put(settlement.id(), entry.withFate(fate));
    return fate != entry.fate();
  }

  String encode() {
    StringBuilder text = new StringBuilder();
    text.append(FORM).append(' ').append(Long.toString(floorMs, RADIX)).append('\n');
    for (Map.Entry<ClaimId, ClaimEntry> item : entries.entrySet()) {
      ClaimEntry entry = item.getValue();
      text.append(item.getKey().value()).append(' ');
      text.append(Long.toString(entry.keyTimeMs(), RADIX)).append(' ');
      text.append(entry.attempt()).append(' ');
      text.append(entry.requestDigest()).append(' ');
      text.append(entry.fate().mark()).append('\n');
    }
    return text.toString();
  }

  /**
   * Reads an image.
   *
   * @throws IllegalArgumentException where the text is not an image
   */
  static ShardImage decode(String text) {
    Iterator<String> lines = Splitter.on('\n').omitEmptyStrings().split(text).iterator();
    List<String> head = Splitter.on(' ').splitToList(lines.hasNext() ? lines.next() : "");
    if (head.size() != 2 || !head.get(0).equals(FORM)) {
      throw new IllegalArgumentException("not an image of claims");
    }
    Map<ClaimId, ClaimEntry> entries = new LinkedHashMap<>();
    while (lines.hasNext()) {
      List<String> fields = Splitter.on(' ').splitToList(lines.next());
      if (fields.size() != FIELD_COUNT) {
        throw new IllegalArgumentException("claim with " + fields.size() + " fields");
      }
      ClaimEntry.Fate fate = ClaimEntry.Fate.of(fields.get(4));
      long keyTimeMs = Long.parseLong(fields.get(1), RADIX);
      entries.put(
          new ClaimId(fields.get(0)),
          new ClaimEntry(keyTimeMs, fields.get(2), fields.get(3), fate));
    }
    return new ShardImage(entries, Long.parseLong(head.get(1), RADIX));
  }
}
