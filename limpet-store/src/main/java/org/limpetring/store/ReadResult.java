package org.limpetring.store;

/** Result of reading one object. */
public sealed interface ReadResult {

  /** The object exists. */
  record Found(StoredObject object) implements ReadResult {}

  /** The object does not exist at {@code revision}. */
  record Missing(long revision) implements ReadResult {}

  /** The read failed, for instance because the platform did not respond in time. */
  record Unavailable(String reason) implements ReadResult {}
}
