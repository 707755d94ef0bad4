package org.limpetring.entry.port;

import java.util.function.Consumer;

/** The platform's store; callbacks run on the event loop. */
public interface PlatformStore {

  /** How fresh a list has to be. */
  enum Consistency {
    /** Holds every change that was acknowledged before the call. */
    LINEARIZABLE,
    /** May be some seconds old; costs a tenth. */
    STALE
  }

  /** Lists all objects of a kind. */
  <T> void list(
      ObjectKind<T> kind,
      Consistency consistency,
      long timeoutMs,
      Consumer<StoreReply<StoredObjects<T>>> done);

  /** Waits up to {@code waitMs} for changes after a revision. */
  <T> void watch(
      ObjectKind<T> kind,
      Consistency consistency,
      long afterRevision,
      long waitMs,
      long timeoutMs,
      Consumer<StoreReply<StoredObjects<T>>> done);

  /** Reads one object, linearizably. */
  <T> void get(
      ObjectKind<T> kind, String name, long timeoutMs, Consumer<StoreReply<StoredObject<T>>> done);

  /** Creates an object; a conflict if it exists. Answers with the object's revision. */
  <T> void create(
      ObjectKind<T> kind, String name, T value, long timeoutMs, Consumer<StoreReply<Long>> done);

  /** Replaces an object if its revision is the given one. Answers with the new revision. */
  <T> void replace(
      ObjectKind<T> kind,
      String name,
      T value,
      long revision,
      long timeoutMs,
      Consumer<StoreReply<Long>> done);
}
