package org.limpetring.store;

/**
 * Port to the platform's object API.
 *
 * <p>Each successful write is assigned the next revision of one store-wide counter; an object's
 * version is the revision of its last write. Version 0 means that the object does not exist. Calls
 * block until the response or the adapter's deadline; implementations are thread-safe.
 */
public interface ObjectStore {

  /** Maximum length of a value, in bytes of UTF-8. */
  int MAX_VALUE_BYTES = 1_048_576;

  /** Reads one object. */
  ReadResult get(String key);

  /** Reads all objects whose key starts with {@code prefix}. */
  ListResult list(String prefix);

  /** Writes {@code value} if the current version is {@code expectedVersion}. */
  WriteResult put(String key, String value, long expectedVersion);

  /** Deletes the object if its version still is {@code expectedVersion}. */
  WriteResult delete(String key, long expectedVersion);

  /** Waits up to {@code waitMs} for changes under {@code prefix} after {@code afterRevision}. */
  WatchResult watch(String prefix, long afterRevision, long waitMs);
}
