package org.limpetring.store.client;

import java.util.ArrayList;
import java.util.List;

/**
 * Last writes of an object, oldest first, as the object itself carries them.
 *
 * <p>Each write names the version that it replaced, so a writer whose answer was lost can tell from
 * a later value whether its own write took effect.
 */
public record WriteStamps(List<Stamp> stamps) {

  /** Writes that an object remembers. */
  public static final int MAX_STAMPS = 8;

  /** Stamps of an object without any. */
  public static final WriteStamps NONE = new WriteStamps(List.of());

  /** Copies the list. */
  public WriteStamps {
    stamps = List.copyOf(stamps);
  }

  /**
   * One write.
   *
   * @param attempt unique name of the write
   * @param baseVersion version that it replaced; 0 for a new object
   */
  public record Stamp(String attempt, long baseVersion) {}

  /** What became of a write. */
  public enum Fate {
    TOOK_EFFECT,
    /** Another write replaced the same version, so this one never will take effect. */
    LOST,
    /** Too many writes have followed to tell. */
    FORGOTTEN
  }

  /** Adds a write and forgets the oldest ones. */
  public WriteStamps with(Stamp stamp) {
    List<Stamp> all = new ArrayList<>(stamps);
    all.add(stamp);
    return new WriteStamps(all.subList(Math.max(0, all.size() - MAX_STAMPS), all.size()));
  }

  /** What became of {@code stamp}, given that its base version has been replaced. */
  public Fate fateOf(Stamp stamp) {
    for (Stamp known : stamps) {
      if (known.baseVersion() == stamp.baseVersion()) {
        return known.equals(stamp) ? Fate.TOOK_EFFECT : Fate.LOST;
      }
    }
    return Fate.FORGOTTEN;
  }

  /** Version that the write {@code stamp} produced, where the object has {@code version} now. */
  public long versionOf(Stamp stamp, long version) {
    int index = stamps.indexOf(stamp);
    return index == stamps.size() - 1 ? version : stamps.get(index + 1).baseVersion();
  }
}
