package org.limpetring.store;

import java.util.List;

/** Result of one wait for changes. */
public sealed interface WatchResult {

  /**
   * Changes since the asked revision, oldest first; empty when the wait ended without one.
   *
   * @param changes last state of each changed object; a deletion has {@code deleted} set
   * @param revision revision up to which nothing is missing
   */
  record Changes(List<Change> changes, long revision) implements WatchResult {
    /** Copies the list. */
    public Changes {
      changes = List.copyOf(changes);
    }
  }

  /** One changed object; {@code value} is empty for a deletion. */
  record Change(String key, String value, long version, boolean deleted) {}

  /** The asked revision is too old; list anew. */
  record Compacted(long oldestRevision) implements WatchResult {}

  /** The platform did not answer in time. */
  record Unavailable(String reason) implements WatchResult {}
}
