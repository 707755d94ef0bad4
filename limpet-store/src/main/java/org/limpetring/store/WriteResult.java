package org.limpetring.store;

/** Result of a conditional write. */
public sealed interface WriteResult {

  /** The write took effect as {@code version}. */
  record Written(long version) implements WriteResult {}

  /**
   * The object had version {@code actualVersion} instead of the expected one; nothing was written.
   */
  record Conflict(long actualVersion) implements WriteResult {}

  /** The write was rejected before any effect, for instance because the platform is down. */
  record Unavailable(String reason) implements WriteResult {}

  /** The response was lost; the write may have taken effect. */
  record Unknown(String reason) implements WriteResult {}
}
