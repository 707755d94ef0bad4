package org.limpetring.entry.port;

import java.util.function.Consumer;

/** Client of the platform's store; callbacks run on the event loop. */
public interface PlatformStore {

  /** Consistency of a read. */
  enum Consistency {
    /** Includes every change that was acknowledged before the call. */
    LINEARIZABLE,
    /** May be some seconds old; a tenth of the cost of a linearizable read. */
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

  /** Creates an object and returns its revision; a conflict if it exists. */
  <T> void create(
      ObjectKind<T> kind, String name, T value, long timeoutMs, Consumer<StoreReply<Long>> done);

  /** Replaces an object if it has the given revision; returns the new revision. */
  <T> void replace(
      ObjectKind<T> kind,
      String name,
      T value,
      long revision,
      long timeoutMs,
      Consumer<StoreReply<Long>> done);
}
