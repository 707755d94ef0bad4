package org.limpetring.store;

import java.util.List;

/** Result of listing a prefix. */
public sealed interface ListResult {

  /** All objects under the prefix as of {@code revision}, sorted by key. */
  record Listed(List<StoredObject> objects, long revision) implements ListResult {
    /** Copies the list. */
    public Listed {
      objects = List.copyOf(objects);
    }
  }

  /** The read failed, for instance because the platform did not respond in time. */
  record Unavailable(String reason) implements ListResult {}
}
