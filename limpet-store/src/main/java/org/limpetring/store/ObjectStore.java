package org.limpetring.store;

/**
 * Port to the platform's object API.
 *
 * <p>Each successful write takes the next number of one store-wide revision counter; an object's
 * version is the revision of its last write. Version 0 stands for "does not exist". Calls block
 * until answered or until the adapter's deadline, and may be made from any thread.
 */
public interface ObjectStore {

  /** Longest permitted value, in bytes of UTF-8. */
  int MAX_VALUE_BYTES = 1_048_576;

  /** Reads one object. */
  ReadResult get(String key);

  /** Reads all objects whose key starts with {@code prefix}. */
  ListResult list(String prefix);

  /** Writes {@code value} if the object's version still is {@code expectedVersion}. */
  WriteResult put(String key, String value, long expectedVersion);

  /** Deletes the object if its version still is {@code expectedVersion}. */
  WriteResult delete(String key, long expectedVersion);

  /** Waits for changes under {@code prefix} after {@code afterRevision}, {@code waitMs} at most. */
  WatchResult watch(String prefix, long afterRevision, long waitMs);
}
