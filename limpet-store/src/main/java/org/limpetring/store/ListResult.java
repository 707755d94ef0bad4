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

  /** The platform did not answer in time. */
  record Unavailable(String reason) implements ListResult {}
}
