package org.limpetring.store.client;

/** Result of an update by {@link ConditionalWriter}. */
public sealed interface UpdateResult {

  /** The change took effect exactly once and produced {@code version} with {@code value}. */
  record Written(long version, String value) implements UpdateResult {}

  /** The change left the object unchanged at {@code version}; 0 if it does not exist. */
  record Unchanged(long version) implements UpdateResult {}

  /** The change did not take effect and never will. */
  record NotWritten(String reason) implements UpdateResult {}

  /** The change took effect at most once; it may still do so later. */
  record Unknown(String reason) implements UpdateResult {}
}
