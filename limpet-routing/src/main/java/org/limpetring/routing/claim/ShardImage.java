package org.limpetring.routing.claim;

import com.google.common.base.Splitter;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.RunState;

/**
 * Content of one shard's object: the claimed keys, and the floor, which is the creation time up to
 * which keys have been forgotten. Stored as text; daemons of other versions read it.
 *
 * <p>A key is forgotten only by raising the floor to or above its creation time, and a key at or
 * below the floor is never claimed. No clock error can therefore let a forgotten key run again.
 */
final class ShardImage {

  /**
   * Maximum number of keys in one shard; keeps the object below the platform's value size limit.
   */
  static final int MAX_KEYS = 12_000;

  private static final String FORMAT_VERSION = "1";
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

  /** Raises the floor to {@code nextMs} and forgets the keys up to it; a floor is never lowered. */
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
            ClaimEntry.State.CLAIMED));
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
    ClaimEntry.State state =
        settlement.runState() == RunState.RAN ? ClaimEntry.State.DONE : ClaimEntry.State.UNKNOWN;
    entries.put(settlement.id(), entry.withState(state));
    return state != entry.state();
  }

  String encode() {
    StringBuilder text = new StringBuilder();
    text.append(FORMAT_VERSION).append(' ').append(Long.toString(floorMs, RADIX)).append('\n');
    for (Map.Entry<ClaimId, ClaimEntry> item : entries.entrySet()) {
      ClaimEntry entry = item.getValue();
      text.append(item.getKey().value()).append(' ');
      text.append(Long.toString(entry.keyTimeMs(), RADIX)).append(' ');
      text.append(entry.attempt()).append(' ');
      text.append(entry.requestDigest()).append(' ');
      text.append(entry.state().code()).append('\n');
    }
    return text.toString();
  }

  /**
   * Parses the stored text of an image.
   *
   * @throws IllegalArgumentException if the text is not a valid image
   */
  static ShardImage decode(String text) {
    Iterator<String> lines = Splitter.on('\n').omitEmptyStrings().split(text).iterator();
    List<String> header = Splitter.on(' ').splitToList(lines.hasNext() ? lines.next() : "");
    if (header.size() != 2 || !header.get(0).equals(FORMAT_VERSION)) {
      throw new IllegalArgumentException("claim shard object has no valid header");
    }
    Map<ClaimId, ClaimEntry> entries = new LinkedHashMap<>();
    while (lines.hasNext()) {
      List<String> fields = Splitter.on(' ').splitToList(lines.next());
      if (fields.size() != FIELD_COUNT) {
        throw new IllegalArgumentException("claim entry has " + fields.size() + " fields");
      }
      ClaimEntry.State state = ClaimEntry.State.of(fields.get(4));
      long keyTimeMs = Long.parseLong(fields.get(1), RADIX);
      entries.put(
          new ClaimId(fields.get(0)),
          new ClaimEntry(keyTimeMs, fields.get(2), fields.get(3), state));
    }
    return new ShardImage(entries, Long.parseLong(header.get(1), RADIX));
  }
}
