package org.limpetring.store;

import java.util.List;

/** Result of one watch call. */
public sealed interface WatchResult {

  /**
   * Changes after the requested revision, oldest first; empty if none occurred within the wait.
   *
   * @param changes latest state of each changed object; {@code deleted} marks a deletion
   * @param revision revision up to which the changes are complete
   */
  record Changes(List<Change> changes, long revision) implements WatchResult {
    /** Copies the list. */
    public Changes {
      changes = List.copyOf(changes);
    }
  }

  /** One changed object; {@code value} is empty for a deletion. */
  record Change(String key, String value, long version, boolean deleted) {}

  /** The requested revision has been compacted; the caller must list again. */
  record Compacted(long oldestRevision) implements WatchResult {}

  /** The watch failed, for instance because the platform did not respond in time. */
  record Unavailable(String reason) implements WatchResult {}
}
