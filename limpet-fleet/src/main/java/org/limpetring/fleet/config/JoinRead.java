package org.limpetring.fleet.config;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.store.StoredObject;

/** Result of reading all objects that a join needs. */
public sealed interface JoinRead {

  /**
   * All reads succeeded.
   *
   * @param accepted the {@code accepted} object, read before the others; null if it is missing
   * @param sources tables and service marks
   * @param revision store revision of the oldest part of {@code sources}
   */
  record Complete(@Nullable StoredObject accepted, List<StoredObject> sources, long revision)
      implements JoinRead {
    /** Copies the list. */
    public Complete {
      sources = List.copyOf(sources);
    }
  }

  /** At least one read failed. */
  record Failed(String reason) implements JoinRead {}
}
