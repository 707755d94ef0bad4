package org.limpetring.entry.port;

import org.jspecify.annotations.Nullable;

/**
 * Object in the store, or its removal.
 *
 * @param position position of the last change
 * @param value null if the object was removed or can't be decoded
 * @param isRemoved whether the object was removed
 */
public record StoredObject<T>(
    String name, StorePosition position, @Nullable T value, boolean isRemoved) {

  /** Object of a store that names no era. */
  public StoredObject(String name, long revision, @Nullable T value, boolean isRemoved) {
    this(name, new StorePosition(0, revision), value, isRemoved);
  }

  /** Revision of the last change, for logs and conditional writes. */
  public long revision() {
    return position.revision();
  }
}
