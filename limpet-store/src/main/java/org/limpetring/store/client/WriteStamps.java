package org.limpetring.store.client;

import java.util.ArrayList;
import java.util.List;

/**
 * Most recent writes of an object, oldest first, stored within the object itself.
 *
 * <p>Each stamp records the version that its write replaced, so a writer that lost the response can
 * determine from a later value whether its own write took effect.
 */
public record WriteStamps(List<Stamp> stamps) {

  /** Maximum number of stamps in an object. */
  public static final int MAX_STAMPS = 8;

  /** Empty list of stamps. */
  public static final WriteStamps NONE = new WriteStamps(List.of());

  /** Copies the list. */
  public WriteStamps {
    stamps = List.copyOf(stamps);
  }

  /**
   * Stamp of one write.
   *
   * @param attemptId unique id of the write
   * @param baseVersion version that the write replaced; 0 for a new object
   */
  public record Stamp(String attemptId, long baseVersion) {}

  /** Outcome of a write, determined from later stamps. */
  public enum WriteOutcome {
    /** The write took effect. */
    APPLIED,
    /** Another write replaced the same version, so this write can never take effect. */
    LOST,
    /** The stamp of the write on that version is no longer kept, so the outcome is unknown. */
    NOT_RECORDED
  }

  /**
   * Returns the stamps with {@code stamp} appended and only the {@link #MAX_STAMPS} newest kept.
   */
  public WriteStamps with(Stamp stamp) {
    List<Stamp> all = new ArrayList<>(stamps);
    all.add(stamp);
    return new WriteStamps(all.subList(Math.max(0, all.size() - MAX_STAMPS), all.size()));
  }

  /** Returns the outcome of the write {@code stamp}, whose base version must have been replaced. */
  public WriteOutcome outcomeOf(Stamp stamp) {
    for (Stamp known : stamps) {
      if (known.baseVersion() == stamp.baseVersion()) {
        return known.equals(stamp) ? WriteOutcome.APPLIED : WriteOutcome.LOST;
      }
    }
    return WriteOutcome.NOT_RECORDED;
  }

  /**
   * Returns the version produced by the write {@code stamp}, given the current {@code version} of
   * the object.
   */
  public long versionOf(Stamp stamp, long version) {
    int index = stamps.indexOf(stamp);
    return index == stamps.size() - 1 ? version : stamps.get(index + 1).baseVersion();
  }
}
