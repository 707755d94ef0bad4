package org.limpetring.fleet.config;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.store.StoredObject;

/** Result of reading everything that a join needs. */
public sealed interface JoinRead {

  /**
   * All reads were answered.
   *
   * @param accepted the {@code accepted} object, read before the others; null if it is missing
   * @param sources tables and service marks
   * @param revision store revision that the oldest part of {@code sources} shows
   */
  record Complete(@Nullable StoredObject accepted, List<StoredObject> sources, long revision)
      implements JoinRead {
    /** Copies the list. */
    public Complete {
      sources = List.copyOf(sources);
    }
  }

  /** The platform did not answer one of the reads. */
  record Failed(String reason) implements JoinRead {}
}
