package org.limpetring.store;

/** Result of a conditional write. */
public sealed interface WriteResult {

  /** The write took effect as {@code version}. */
  record Written(long version) implements WriteResult {}

  /** The object's version was {@code actualVersion}; nothing was written. */
  record Conflict(long actualVersion) implements WriteResult {}

  /** The platform refused before any effect, for instance because it is down. */
  record Unavailable(String reason) implements WriteResult {}

  /** The answer was lost; the write may have taken effect. */
  record Unknown(String reason) implements WriteResult {}
}
